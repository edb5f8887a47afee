/*
 * What happens to calls that may run at most once, and what has to be done about it.
 */
package org.vanillalink.dispatch.record

import arrow.core.Either
import org.vanillalink.model.AttemptId
import org.vanillalink.model.Refusal
import org.vanillalink.model.RequestId
import org.vanillalink.model.WorkspaceId
import org.vanillalink.store.ConditionalWrite
import org.vanillalink.store.Row
import org.vanillalink.store.RowKey
import org.vanillalink.store.StoreFailure
import org.vanillalink.store.TransactionResult
import java.time.Instant

/** A call with an idempotency key. [attempt] is new for each call; past [deadline] nothing is sent any more. */
data class KeyedCall(
    val request: RequestId,
    val record: RecordId,
    val attempt: AttemptId,
    val fingerprint: CallFingerprint,
    val workspace: WorkspaceId,
    val deadline: Instant,
)

/** One call to the table service; [number] is never used twice by one process. */
data class StoreOperation(
    val record: RecordId,
    val number: Long,
)

/** What an owner says about a record in state sending. */
sealed interface OwnerStatus {
    /** The run, or the clean-up after it, goes on. */
    data object Running : OwnerStatus

    /** It ran, and its outcome isn't in the table yet. */
    data class Finished(
        val fingerprint: CallFingerprint,
        val outcome: CallOutcome,
    ) : OwnerStatus

    /** The asked process knows nothing of it. */
    data object NotFound : OwnerStatus

    /** The owner's process didn't answer, or another process answers in its place. */
    data object Unreachable : OwnerStatus
}

/** What happened. */
sealed interface DispatchEvent {
    /** A caller sent [call]. */
    data class CallArrived(
        val call: KeyedCall,
    ) : DispatchEvent

    /** The table service answered, or didn't answer, a [DispatchDecision.Transact]. */
    data class TransactionFinished(
        val operation: StoreOperation,
        val result: Either<StoreFailure, TransactionResult>,
    ) : DispatchEvent

    /** The table service answered, or didn't answer, a [DispatchDecision.ReadRow]. */
    data class ReadFinished(
        val operation: StoreOperation,
        val result: Either<StoreFailure, Map<RowKey, Row>>,
    ) : DispatchEvent

    /** The answer to [DispatchDecision.QueryOwner]. */
    data class OwnerStatusReceived(
        val record: RecordId,
        val status: OwnerStatus,
    ) : DispatchEvent

    /** The target answered whole, repeating [attempt]. */
    data class TargetResponded(
        val record: RecordId,
        val attempt: AttemptId,
        val outcome: CallOutcome,
    ) : DispatchEvent

    /** The target gave no whole answer; [mayHaveRun] is false only if no byte left or the target proved it. */
    data class TargetFailed(
        val record: RecordId,
        val attempt: AttemptId,
        val mayHaveRun: Boolean,
    ) : DispatchEvent

    /** The object store took, or didn't take, the body of a [DispatchDecision.StoreBody]. */
    data class StoreBodyFinished(
        val record: RecordId,
        val name: String,
        val result: Either<StoreFailure, Unit>,
    ) : DispatchEvent

    /** Time has passed; wanted about ten times a second while there are entries. */
    data object Tick : DispatchEvent
}

/** What has to be done. */
sealed interface DispatchDecision {
    /** Apply [write] in a transaction of its own. */
    data class Transact(
        val operation: StoreOperation,
        val write: ConditionalWrite,
    ) : DispatchDecision

    /** Read [row]. */
    data class ReadRow(
        val operation: StoreOperation,
        val row: RowKey,
    ) : DispatchDecision

    /** Ask [owner]'s process whether it still runs [record]. */
    data class QueryOwner(
        val owner: RecordOwner,
        val record: RecordId,
    ) : DispatchDecision

    /** Send the call once, now. Its record says sending. */
    data class SendToTarget(
        val call: KeyedCall,
    ) : DispatchDecision

    /** Put an answer's body into the object store. */
    data class StoreBody(
        val record: RecordId,
        val name: String,
        val body: OutcomeBody.Inline,
    ) : DispatchDecision

    /** Give [outcome] to the caller at once; [replay] where an earlier call ran. */
    data class RespondToCaller(
        val request: RequestId,
        val outcome: CallOutcome,
        val isReplay: Boolean,
    ) : DispatchDecision

    /** Refuse the caller at once. */
    data class RefuseCall(
        val request: RequestId,
        val refusal: Refusal,
    ) : DispatchDecision
}
