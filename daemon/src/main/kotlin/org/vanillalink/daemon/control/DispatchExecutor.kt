/*
 * Carries out decisions on calls with idempotency keys.
 */
package org.vanillalink.daemon.control

import org.vanillalink.control.DaemonDecision
import org.vanillalink.control.DaemonEvent
import org.vanillalink.daemon.traffic.ActiveCalls
import org.vanillalink.daemon.traffic.KeyedPlainCall
import org.vanillalink.dispatch.record.CallOutcome
import org.vanillalink.dispatch.record.DispatchDecision
import org.vanillalink.dispatch.record.DispatchEvent
import org.vanillalink.dispatch.record.OutcomeBody
import org.vanillalink.dispatch.record.OwnerStatus
import org.vanillalink.dispatch.record.RecordId
import org.vanillalink.dispatch.record.RecordOwner
import org.vanillalink.model.Refusal
import org.vanillalink.model.RefusalOutcome
import org.vanillalink.model.RefusalReason
import org.vanillalink.store.ObjectStore
import org.vanillalink.store.TableStore
import java.time.Duration
import java.util.concurrent.CompletableFuture

/** Asks the daemon that owns a record whether it still runs it. */
fun interface RecordOwners {
    /** What [owner] says about [record]. */
    fun ask(
        owner: RecordOwner,
        record: RecordId,
    ): CompletableFuture<OwnerStatus>
}

/** Reads and writes records in [table] and large answers in [objects]. */
class DispatchExecutor(
    private val loop: ControlLoop,
    private val table: TableStore,
    private val objects: ObjectStore,
    private val owners: RecordOwners,
    private val calls: ActiveCalls,
    private val observer: CallObserver,
) : DecisionExecutor {
    override fun execute(decision: DaemonDecision) {
        val wanted = (decision as? DaemonDecision.ForDispatch)?.decision ?: return
        when (wanted) {
            is DispatchDecision.Transact -> transact(wanted)
            is DispatchDecision.ReadRow -> readRow(wanted)
            is DispatchDecision.QueryOwner -> askOwner(wanted)
            is DispatchDecision.StoreBody -> storeBody(wanted)
            is DispatchDecision.RespondToCaller -> answer(wanted)
            is DispatchDecision.RefuseCall -> refuse(wanted)
            is DispatchDecision.SendToTarget -> Unit
        }
    }

    private fun transact(wanted: DispatchDecision.Transact) {
        table.transact(listOf(wanted.write)).thenAccept {
            tell(DispatchEvent.TransactionFinished(wanted.operation, it))
        }
    }

    private fun readRow(wanted: DispatchDecision.ReadRow) {
        table.read(setOf(wanted.row)).thenAccept { tell(DispatchEvent.ReadFinished(wanted.operation, it)) }
    }

    private fun askOwner(wanted: DispatchDecision.QueryOwner) {
        owners
            .ask(
                wanted.owner,
                wanted.record,
            ).thenAccept { tell(DispatchEvent.OwnerStatusReceived(wanted.record, it)) }
    }

    private fun storeBody(wanted: DispatchDecision.StoreBody) {
        objects.put(wanted.name, wanted.body.decode()).thenAccept {
            tell(DispatchEvent.StoreBodyFinished(wanted.record, wanted.name, it))
        }
    }

    private fun answer(wanted: DispatchDecision.RespondToCaller) {
        val call = calls.remove(wanted.request) as? KeyedPlainCall ?: return
        observer.answered(wanted.request)
        when (val body = wanted.outcome.body) {
            is OutcomeBody.Inline -> call.replay(wanted.outcome, body.decode(), wanted.isReplay)
            is OutcomeBody.Stored -> answerStored(call, wanted.outcome, body)
        }
    }

    private fun answerStored(
        call: KeyedPlainCall,
        outcome: CallOutcome,
        body: OutcomeBody.Stored,
    ) {
        objects.get(body.name).thenAccept { result ->
            val bytes = result.getOrNull()
            if (bytes == null) call.refuse(BODY_UNAVAILABLE) else call.replay(outcome, bytes, replayed = true)
        }
    }

    private fun refuse(wanted: DispatchDecision.RefuseCall) {
        val call = calls.remove(wanted.request) ?: return
        observer.refused(wanted.request, wanted.refusal)
        call.refuse(wanted.refusal)
    }

    private fun tell(event: DispatchEvent) = loop.tell(DaemonEvent.ForDispatch(event))

    private companion object {
        val RETRY_STORED: Duration = Duration.ofSeconds(2)
        val BODY_UNAVAILABLE =
            Refusal(
                RefusalReason.RECORD_UNAVAILABLE,
                RefusalOutcome.UNKNOWN,
                "The call ran before; its kept answer can't be read now.",
                RETRY_STORED,
            )
    }
}
