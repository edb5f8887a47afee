/*
 * The part of a daemon's decisions that tells a silent connection from a lost target.
 */
package org.vanillalink.control

import org.vanillalink.dispatch.path.PathDecision
import org.vanillalink.dispatch.path.PathEvent
import org.vanillalink.dispatch.path.PathHealth
import org.vanillalink.dispatch.path.PathState
import org.vanillalink.groups.ReceivedReport
import org.vanillalink.model.HostId
import java.time.Instant

internal class PathHealthComponent {
    private val pathHealth = PathHealth()
    private val suspectedAt = HashMap<HostId, Instant>()

    var state = PathState()
        private set

    /** Whether [host] answered no probe and hasn't reported since. */
    fun isSuspected(host: HostId): Boolean = host in suspectedAt

    fun tick(step: ProcessingStep) {
        if (state.streams.isNotEmpty() || state.probes.isNotEmpty()) handle(PathEvent.Tick, step)
    }

    fun reportUpdated(
        received: ReceivedReport,
        step: ProcessingStep,
    ) {
        val report = received.report
        suspectedAt[report.host]?.let { if (received.receivedAt > it) suspectedAt.remove(report.host) }
        if (state.streams.isEmpty()) return
        handle(PathEvent.TargetReported(report.host, report.runningAttempts, received.receivedAt), step)
    }

    fun handle(
        event: PathEvent,
        step: ProcessingStep,
    ) {
        val next = pathHealth.handle(state, event, step.now)
        state = next.state
        next.decisions.forEach { decision ->
            if (decision is PathDecision.SuspectTarget) markSuspected(decision.target, step)
            step.addDecision(DaemonDecision.ForPath(decision))
        }
    }

    private fun markSuspected(
        target: HostId,
        step: ProcessingStep,
    ) {
        suspectedAt[target] = step.now
        step.publish(LocalEvent.ServingChanged)
    }
}
