/*
 * What a daemon knows of the control of one failure domain.
 */
package org.vanillalink.groups

import org.vanillalink.model.FencingNumber
import org.vanillalink.store.ConditionalWrite
import java.time.Instant

/** The row as a candidate saw it; it has been at [version] since [since] by the candidate's own watch. */
data class SeenControl(
    val version: Long,
    val row: ControlRow?,
    val since: Instant,
)

/** The control that this daemon believes to hold. */
data class HeldControl(
    val fencingNumber: FencingNumber,
    val version: Long,
    val writtenAt: Instant,
)

/**
 * The one transaction in progress. An [ambiguous] one may have taken effect, so the very same one is repeated until its
 * outcome is certain. [requested] are the group controller's writes, null for a write of control alone.
 */
data class PendingWrite(
    val row: ControlRow,
    val expectedVersion: Long,
    val requested: List<ConditionalWrite>?,
    val inFlight: Boolean = true,
    val ambiguous: Boolean = false,
)

/** The state of [FailureDomainControl]. */
data class ControlState(
    val seen: SeenControl? = null,
    val held: HeldControl? = null,
    val pending: PendingWrite? = null,
    val queued: List<ConditionalWrite>? = null,
    val highestSeen: FencingNumber = FencingNumber.NONE,
    val writes: Long = 0,
    val readAt: Instant = Instant.EPOCH,
    val attemptedAt: Instant = Instant.EPOCH,
    val reachable: Boolean = true,
    val shuttingDown: Boolean = false,
)
