/*
 * The configuration's part of a daemon's decisions.
 */
package org.vanillalink.control

import org.vanillalink.configuration.ConfigurationDocument
import org.vanillalink.configuration.ConfigurationEditor
import org.vanillalink.configuration.ConfigurationReplica
import org.vanillalink.configuration.EditResult
import org.vanillalink.configuration.EditorDecision
import org.vanillalink.configuration.EditorEvent
import org.vanillalink.configuration.EditorState
import org.vanillalink.configuration.ReplicaDecision
import org.vanillalink.configuration.ReplicaEvent
import org.vanillalink.configuration.ReplicaState
import java.time.Instant

internal class ConfigurationComponent(
    startedAt: Instant,
) {
    private val replica = ConfigurationReplica()
    private val editor = ConfigurationEditor()
    private var editorState = EditorState()

    var replicaState = ReplicaState(startedAt)
        private set

    var document = ConfigurationDocument()
        private set

    fun handle(
        event: ReplicaEvent,
        step: ProcessingStep,
    ) {
        val next = replica.handle(replicaState, event, step.now)
        val isNewlyConfirmed = next.state.confirmedAt != replicaState.confirmedAt
        replicaState = next.state
        next.decisions.forEach { execute(it, step) }
        if (isNewlyConfirmed) step.publish(LocalEvent.LocalStateChanged(urgent = false))
    }

    fun handle(
        event: EditorEvent,
        step: ProcessingStep,
    ) {
        val next = editor.handle(editorState, event, step.now)
        editorState = next.state
        next.decisions.forEach { decision ->
            step.addDecision(DaemonDecision.ForEditor(decision))
            val accepted = (decision as? EditorDecision.CompleteEdit)?.result as? EditResult.Accepted
            accepted?.let { handle(ReplicaEvent.EditAccepted(it.revision), step) }
        }
    }

    private fun execute(
        decision: ReplicaDecision,
        step: ProcessingStep,
    ) {
        when (decision) {
            is ReplicaDecision.ConfigurationInForce -> {
                document = decision.document
                step.addDecision(DaemonDecision.ConfigurationChanged(document, decision.revision))
                step.publish(LocalEvent.ConfigurationInForce(document, decision.source))
            }

            is ReplicaDecision.RecordTimeline -> {
                step.addDecision(TimelineRecords.from(decision.entry))
            }

            is ReplicaDecision.ReadRows, is ReplicaDecision.QueryPeer -> {
                step.addDecision(DaemonDecision.ForReplica(decision))
            }
        }
    }
}
