/*
 * What one daemon's process remembers of the calls that it handles; all of it may be lost at any moment.
 */
package org.vanillalink.dispatch.record

import java.time.Duration
import java.time.Instant

private val DEFAULT_RETRY_INTERVAL = Duration.ofMillis(500)
private val DEFAULT_RECORD_RETRY_LIMIT = Duration.ofHours(1)
private val DEFAULT_LONGEST_RETRY_AFTER = Duration.ofSeconds(30)
private const val DEFAULT_READS = 3
private const val DEFAULT_LARGEST_INLINE = 65_536

/** Settings of calls that may run at most once. */
data class DispatchSettings(
    val retryInterval: Duration = DEFAULT_RETRY_INTERVAL,
    val readsBeforeRefusal: Int = DEFAULT_READS,
    val recordRetryLimit: Duration = DEFAULT_RECORD_RETRY_LIMIT,
    val ownerAnswerTimeout: Duration = Duration.ofSeconds(1),
    val largestInlineBase64: Int = DEFAULT_LARGEST_INLINE,
    val shortestRetryAfter: Duration = Duration.ofSeconds(1),
    val longestRetryAfter: Duration = DEFAULT_LONGEST_RETRY_AFTER,
)

/** Where a call is in its way. */
sealed interface DispatchPhase {
    /** The insert or the take-over of the record is under way. */
    data object Claiming : DispatchPhase

    /** The write of `sending` is under way. */
    data object Recording : DispatchPhase

    /** Somebody else has it in state sending; [rereads] counts the looks at the row after its owner denied it. */
    data class AskingOwner(
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
 * One call at this process. [version] is the row's version as far as known; [operation] the number of the table call
 * whose result is awaited; [failedReads] counts reads in a row without an answer. [dueAt] is when the next step is
 * tried without an event, and [answered] says that the caller has got its final answer.
 */
data class DispatchEntry(
    val call: KeyedCall,
    val phase: DispatchPhase,
    val startedAt: Instant,
    val version: Long = 0,
    val operation: Long = NO_OPERATION,
    val failedReads: Int = 0,
    val dueAt: Instant? = null,
    val answered: Boolean = false,
) {
    internal fun isUnsent(): Boolean =
        phase == DispatchPhase.Claiming || phase == DispatchPhase.Recording || phase is DispatchPhase.AskingOwner

    internal companion object {
        /** No result of the table service is awaited. */
        const val NO_OPERATION = 0L
    }
}

/** All calls of one process; [storeFailingSince] is set while the table service doesn't answer. */
data class DispatchState(
    val owner: RecordOwner,
    val entries: Map<RecordId, DispatchEntry> = emptyMap(),
    val lastOperation: Long = 0,
    val storeFailingSince: Instant? = null,
) {
    /** What this process tells a peer that asks about [record]. */
    fun statusOf(record: RecordId): OwnerStatus {
        val entry = entries[record] ?: return OwnerStatus.NotHere
        return when (val phase = entry.phase) {
            is DispatchPhase.AskingOwner -> OwnerStatus.NotHere

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
