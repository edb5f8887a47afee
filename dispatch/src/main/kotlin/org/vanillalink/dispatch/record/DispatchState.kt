/*
 * What one daemon's process remembers of the calls that it handles; all of it may be lost at any moment.
 */
package org.vanillalink.dispatch.record

import java.time.Duration
import java.time.Instant

private val DEFAULT_RETRY_INTERVAL = Duration.ofMillis(500)
private val DEFAULT_RECORD_RETRY_LIMIT = Duration.ofHours(1)
private val DEFAULT_MAX_RETRY_AFTER = Duration.ofSeconds(30)
private const val DEFAULT_MAX_FAILED_READS = 3
private const val DEFAULT_MAX_INLINE_BASE64_CHARACTERS = 65_536

/** Settings of calls that may run at most once. */
data class DispatchSettings(
    val retryInterval: Duration = DEFAULT_RETRY_INTERVAL,
    val maxFailedReads: Int = DEFAULT_MAX_FAILED_READS,
    val recordRetryLimit: Duration = DEFAULT_RECORD_RETRY_LIMIT,
    val ownerResponseTimeout: Duration = Duration.ofSeconds(1),
    val maxInlineBase64Characters: Int = DEFAULT_MAX_INLINE_BASE64_CHARACTERS,
    val minRetryAfter: Duration = Duration.ofSeconds(1),
    val maxRetryAfter: Duration = DEFAULT_MAX_RETRY_AFTER,
)

/** Where a call is in its way. */
sealed interface DispatchPhase {
    /** The insert or the take-over of the record is under way. */
    data object Claiming : DispatchPhase

    /** The write of `sending` is under way. */
    data object Recording : DispatchPhase

    /** Somebody else has it in state sending; [rereads] counts the looks at the row after its owner denied it. */
    data class QueryingOwner(
        val record: DispatchRecord,
        val rereads: Int = 0,
    ) : DispatchPhase

    /** The target has it. */
    data object Sending : DispatchPhase

    /** It ran; its body is on the way to the object store under [name]. */
    data class StoringBody(
        val outcome: CallOutcome,
        val name: String,
    ) : DispatchPhase

    /** It ran; the write of `done` isn't confirmed. Replays get [outcome]; the row gets [recorded]. */
    data class Completing(
        val outcome: CallOutcome,
        val recorded: CallOutcome,
    ) : DispatchPhase

    /** It certainly didn't run; freeing the key isn't confirmed. */
    data object Releasing : DispatchPhase
}

/**
 * One call at this process. [version] is the row's version as far as known; [pendingOperation] the number of the table
 * call whose result is awaited; [failedReads] counts reads in a row without an answer. [dueAt] is when the next step is
 * tried without an event, and [isAnswered] says that the caller has got its final answer.
 */
data class DispatchEntry(
    val call: KeyedCall,
    val phase: DispatchPhase,
    val startedAt: Instant,
    val version: Long = 0,
    val pendingOperation: Long = NO_OPERATION,
    val failedReads: Int = 0,
    val dueAt: Instant? = null,
    val isAnswered: Boolean = false,
) {
    internal fun isUnsent(): Boolean =
        phase == DispatchPhase.Claiming || phase == DispatchPhase.Recording || phase is DispatchPhase.QueryingOwner

    internal companion object {
        /** No result of the table service is awaited. */
        const val NO_OPERATION = 0L
    }
}

/** All calls of one process; [storeUnavailableSince] is set while the table service doesn't answer. */
data class DispatchState(
    val owner: RecordOwner,
    val entries: Map<RecordId, DispatchEntry> = emptyMap(),
    val lastOperationNumber: Long = 0,
    val storeUnavailableSince: Instant? = null,
) {
    /** What this process tells a peer that asks about [record]. */
    fun getStatus(record: RecordId): OwnerStatus {
        val entry = entries[record] ?: return OwnerStatus.NotFound
        return when (val phase = entry.phase) {
            is DispatchPhase.QueryingOwner -> OwnerStatus.NotFound

            is DispatchPhase.StoringBody -> OwnerStatus.Finished(entry.call.fingerprint, phase.outcome)

            is DispatchPhase.Completing -> OwnerStatus.Finished(entry.call.fingerprint, phase.outcome)

            DispatchPhase.Claiming,
            DispatchPhase.Recording,
            DispatchPhase.Sending,
            DispatchPhase.Releasing,
            -> OwnerStatus.Running
        }
    }
}
