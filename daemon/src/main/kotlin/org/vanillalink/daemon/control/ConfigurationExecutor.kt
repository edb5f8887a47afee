/*
 * Carries out decisions on the configuration: reads, edits and their answers.
 */
package org.vanillalink.daemon.control

import org.vanillalink.configuration.ConfigurationEdit
import org.vanillalink.configuration.EditResult
import org.vanillalink.configuration.EditorDecision
import org.vanillalink.configuration.EditorEvent
import org.vanillalink.configuration.ReplicaDecision
import org.vanillalink.configuration.ReplicaEvent
import org.vanillalink.control.DaemonDecision
import org.vanillalink.control.DaemonEvent
import org.vanillalink.store.TableStore
import java.util.concurrent.CompletableFuture

/** Reads and writes the configuration's rows in [table]. */
class ConfigurationExecutor(
    private val loop: ControlLoop,
    private val thread: ControlThread,
    private val table: TableStore,
) : DecisionExecutor {
    private val waiting = mutableMapOf<ConfigurationEdit, MutableList<CompletableFuture<EditResult>>>()

    /** Has [edit] carried out; from any thread. */
    fun apply(edit: ConfigurationEdit): CompletableFuture<EditResult> {
        val result = CompletableFuture<EditResult>()
        thread.execute {
            waiting.getOrPut(edit) { mutableListOf() }.add(result)
            loop.handle(DaemonEvent.ForEditor(EditorEvent.EditRequested(edit)))
        }
        return result
    }

    override fun execute(decision: DaemonDecision) {
        when (decision) {
            is DaemonDecision.ForReplica -> executeFor(decision.decision)
            is DaemonDecision.ForEditor -> executeFor(decision.decision)
            else -> Unit
        }
    }

    private fun executeFor(decision: ReplicaDecision) {
        if (decision !is ReplicaDecision.ReadRows) return
        table.read(decision.keys).thenAccept { answer ->
            loop.tell(DaemonEvent.ForReplica(ReplicaEvent.RowsRead(decision.keys, answer)))
        }
    }

    private fun executeFor(decision: EditorDecision) {
        when (decision) {
            is EditorDecision.ReadRows -> {
                table.read(decision.keys).thenAccept { tell(EditorEvent.RowsRead(decision.edit, it)) }
            }

            is EditorDecision.Transact -> {
                table.transact(decision.writes).thenAccept { tell(EditorEvent.TransactionCompleted(decision.edit, it)) }
            }

            is EditorDecision.CompleteEdit -> {
                waiting.remove(decision.edit)?.forEach { it.complete(decision.result) }
            }
        }
    }

    private fun tell(event: EditorEvent) = loop.tell(DaemonEvent.ForEditor(event))
}
