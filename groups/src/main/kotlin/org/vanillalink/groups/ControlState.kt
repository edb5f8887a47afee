/*
 * State of the control (leadership) of one failure domain as known to one daemon.
 */
package org.vanillalink.groups

import org.vanillalink.model.FencingNumber
import org.vanillalink.store.ConditionalWrite
import java.time.Instant

/** The control row as observed by a candidate, at [version] since [unchangedSince] by the candidate's own clock. */
data class ObservedControl(
    val version: Long,
    val row: ControlRow?,
    val unchangedSince: Instant,
)

/** The control that this daemon assumes to hold. */
data class HeldControl(
    val fencingNumber: FencingNumber,
    val version: Long,
    val writtenAt: Instant,
)

/**
 * The one transaction in progress. One that [isAmbiguous] may have taken effect and is repeated unchanged until its
 * outcome is certain. [writes] are the group controller's writes, null for a write of the control row alone.
 */
data class PendingWrite(
    val row: ControlRow,
    val expectedVersion: Long,
    val writes: List<ConditionalWrite>?,
    val isInFlight: Boolean = true,
    val isAmbiguous: Boolean = false,
)

/** The state of [FailureDomainControl]. */
data class ControlState(
    val observed: ObservedControl? = null,
    val held: HeldControl? = null,
    val pending: PendingWrite? = null,
    val queuedWrites: List<ConditionalWrite>? = null,
    val highestObserved: FencingNumber = FencingNumber.NONE,
    val lastWriteNumber: Long = 0,
    val lastReadAt: Instant = Instant.EPOCH,
    val lastAttemptAt: Instant = Instant.EPOCH,
    val isPlatformReachable: Boolean = true,
    val isShuttingDown: Boolean = false,
)
