/*
 * Events and decisions of IdempotentDispatch.
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

/** A call with an idempotency key. [attempt] is new for each call. Nothing is sent after [deadline]. */
data class KeyedCall(
    val request: RequestId,
    val record: RecordId,
    val attempt: AttemptId,
    val fingerprint: CallFingerprint,
    val workspace: WorkspaceId,
    val deadline: Instant,
)

/** One call to the table service; a process never reuses [number]. */
data class StoreOperation(
    val record: RecordId,
    val number: Long,
)

/** Result of querying the owner of a record in state sending. */
sealed interface OwnerStatus {
    /** The call, or the release of its record, is in progress. */
    data object Running : OwnerStatus

    /** The call ran, and its outcome isn't confirmed in the table yet. */
    data class Finished(
        val fingerprint: CallFingerprint,
        val outcome: CallOutcome,
    ) : OwnerStatus

    /** The queried process has no entry for the record, or only one that queries the owner itself. */
    data object NotFound : OwnerStatus

    /** The owner's process didn't respond, or another process responded in its place. */
    data object Unreachable : OwnerStatus
}

/** Events of calls, table and object store operations, owners and targets. */
sealed interface DispatchEvent {
    /** A caller sent [call]. */
    data class CallArrived(
        val call: KeyedCall,
    ) : DispatchEvent

    /** Result, or failure, of a [DispatchDecision.Transact]. */
    data class TransactionFinished(
        val operation: StoreOperation,
        val result: Either<StoreFailure, TransactionResult>,
    ) : DispatchEvent

    /** Result, or failure, of a [DispatchDecision.ReadRow]. */
    data class ReadFinished(
        val operation: StoreOperation,
        val result: Either<StoreFailure, Map<RowKey, Row>>,
    ) : DispatchEvent

    /** Result of a [DispatchDecision.QueryOwner]. */
    data class OwnerStatusReceived(
        val record: RecordId,
        val status: OwnerStatus,
    ) : DispatchEvent

    /** The target returned a complete response that carries [attempt]. */
    data class TargetResponded(
        val record: RecordId,
        val attempt: AttemptId,
        val outcome: CallOutcome,
    ) : DispatchEvent

    /** No complete response was received; [mayHaveRun] is false only if no byte was sent or the target proved it. */
    data class TargetFailed(
        val record: RecordId,
        val attempt: AttemptId,
        val mayHaveRun: Boolean,
    ) : DispatchEvent

    /** Result, or failure, of a [DispatchDecision.StoreBody]. */
    data class StoreBodyFinished(
        val record: RecordId,
        val name: String,
        val result: Either<StoreFailure, Unit>,
    ) : DispatchEvent

    /** Periodic event; expected about ten times a second while there are entries. */
    data object Tick : DispatchEvent
}

/** Actions that [IdempotentDispatch] requests. */
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

    /** Query the process of [owner] whether it still runs [record]. */
    data class QueryOwner(
        val owner: RecordOwner,
        val record: RecordId,
    ) : DispatchDecision

    /** Send the call once, now. Its record is in state sending. */
    data class SendToTarget(
        val call: KeyedCall,
    ) : DispatchDecision

    /** Put the body of a response into the object store under [name]. */
    data class StoreBody(
        val record: RecordId,
        val name: String,
        val body: OutcomeBody.Inline,
    ) : DispatchDecision

    /** Send [outcome] to the caller at once; [isReplay] is set if it is the outcome of an earlier call. */
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
