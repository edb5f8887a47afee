/*
 * In-memory state of the calls at one daemon process; all of it can be lost at any moment.
 */
package org.vanillalink.dispatch.record

import java.time.Duration
import java.time.Instant

private val DEFAULT_RETRY_INTERVAL = Duration.ofMillis(500)
private val DEFAULT_RECORD_RETRY_LIMIT = Duration.ofHours(1)
private val DEFAULT_MAX_RETRY_AFTER = Duration.ofSeconds(30)
private const val DEFAULT_MAX_FAILED_READS = 3
private const val DEFAULT_MAX_INLINE_BASE64_CHARACTERS = 65_536

/**
 * Settings of calls that may run at most once. The write of an outcome, or of a release, is retried for up to
 * [recordRetryLimit] after the start of the call. Bodies with more than [maxInlineBase64Characters] in Base64 go to the
 * object store.
 */
data class DispatchSettings(
    val retryInterval: Duration = DEFAULT_RETRY_INTERVAL,
    val maxFailedReads: Int = DEFAULT_MAX_FAILED_READS,
    val recordRetryLimit: Duration = DEFAULT_RECORD_RETRY_LIMIT,
    val ownerResponseTimeout: Duration = Duration.ofSeconds(1),
    val maxInlineBase64Characters: Int = DEFAULT_MAX_INLINE_BASE64_CHARACTERS,
    val minRetryAfter: Duration = Duration.ofSeconds(1),
    val maxRetryAfter: Duration = DEFAULT_MAX_RETRY_AFTER,
)

/** Progress of a call at this process. */
sealed interface DispatchPhase {
    /** The insert or the takeover of the record is pending. */
    data object Claiming : DispatchPhase

    /** The write of state `sending` is pending. */
    data object Recording : DispatchPhase

    /** Another owner has it in state `sending`; [rereads] counts reads of the row since the owner was queried. */
    data class QueryingOwner(
        val record: DispatchRecord,
        val rereads: Int = 0,
    ) : DispatchPhase

    /** It was sent to the target, whose response is pending. */
    data object Sending : DispatchPhase

    /** It ran; the write of its body to the object store under [name] is pending. */
    data class StoringBody(
        val outcome: CallOutcome,
        val name: String,
    ) : DispatchPhase

    /** It ran; the write of state `done` isn't confirmed. Replays get [outcome]; the row gets [recorded]. */
    data class Completing(
        val outcome: CallOutcome,
        val recorded: CallOutcome,
    ) : DispatchPhase

    /** It certainly didn't run; the write that frees the key isn't confirmed. */
    data object Releasing : DispatchPhase
}

/**
 * One call at this process. [version] is the last known version of the row. [pendingOperation] is the number of the
 * table call whose result is awaited. [failedReads] counts consecutive reads that failed. [dueAt] is when the next step
 * is taken without an event. [isAnswered] is set once the caller has received its final response.
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
        /** No result of a table call is awaited. */
        const val NO_OPERATION = 0L
    }
}

/** All calls of one process; [storeUnavailableSince] is set while calls to the table service fail. */
data class DispatchState(
    val owner: RecordOwner,
    val entries: Map<RecordId, DispatchEntry> = emptyMap(),
    val lastOperationNumber: Long = 0,
    val storeUnavailableSince: Instant? = null,
) {
    /** Returns the status of [record] to report to a peer that queries this process as the owner. */
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
