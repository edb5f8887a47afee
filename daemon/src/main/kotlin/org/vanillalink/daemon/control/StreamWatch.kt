/*
 * Tells the control which streams of answers are open and which of them move, and carries out what it decides about
 * silent ones.
 *
 * Traffic threads only count the pieces that come; they are looked at with each tick, so that a token costs the control
 * thread nothing.
 */
package org.vanillalink.daemon.control

import org.vanillalink.control.DaemonDecision
import org.vanillalink.control.DaemonEvent
import org.vanillalink.daemon.timeline.EventLog
import org.vanillalink.daemon.traffic.ActiveCalls
import org.vanillalink.daemon.traffic.RunningAttempt
import org.vanillalink.dispatch.path.ConnectionId
import org.vanillalink.dispatch.path.PathDecision
import org.vanillalink.dispatch.path.PathEvent
import org.vanillalink.model.AttemptId
import org.vanillalink.model.Endpoint
import org.vanillalink.model.HostId
import org.vanillalink.targets.TargetClient
import org.vanillalink.transport.ConnectionPolicy
import org.vanillalink.transport.HttpClient
import java.time.Duration

/** [endpointOf] gives where a listed host's target listens; confined to the control thread. */
class StreamWatch(
    private val loop: ControlLoop,
    private val calls: ActiveCalls,
    private val targets: TargetClient,
    private val client: HttpClient,
    private val log: EventLog,
    private val endpointOf: (HostId) -> Endpoint?,
) : DecisionExecutor {
    private val seen = HashMap<AttemptId, Long>()

    /** Looks at all streams. */
    fun look() {
        val open = calls.all.mapNotNull { it.watched }.filter { it.target != null }
        open.forEach(::look)
        val closed = seen.keys - open.map { it.id }.toSet()
        closed.forEach { attempt ->
            seen.remove(attempt)
            tell(PathEvent.StreamClosed(attempt))
        }
    }

    private fun look(attempt: RunningAttempt) {
        val host = attempt.target?.host ?: return
        val pieces = attempt.piecesReceived
        val before = seen.put(attempt.id, pieces)
        val moves = pieces != before || attempt.heldBack
        val begins = before == null || (before < PIECES_BEFORE_PACE && pieces >= PIECES_BEFORE_PACE)
        if (begins) {
            val gap = if (pieces < PIECES_BEFORE_PACE) GAP_BEFORE_TOKENS else GAP_BETWEEN_TOKENS
            tell(PathEvent.StreamOpened(attempt.id, host, ConnectionId(attempt.id.value), gap))
        } else if (moves) {
            tell(PathEvent.BytesReceived(attempt.id))
        }
    }

    override fun execute(decision: DaemonDecision) {
        when (val wanted = (decision as? DaemonDecision.ForPath)?.decision) {
            is PathDecision.ProbeOnNewConnection -> probe(wanted)
            is PathDecision.EndStreams -> end(wanted)
            is PathDecision.SuspectTarget -> log.record("target-suspected", "host" to wanted.target)
            null -> Unit
        }
    }

    private fun probe(wanted: PathDecision.ProbeOnNewConnection) {
        val endpoint = endpointOf(wanted.target)
        if (endpoint == null) {
            loop.tell(DaemonEvent.ForPath(PathEvent.ProbeFailed(wanted.target, wanted.probeNumber)))
            return
        }
        targets.fetchReport(endpoint, ConnectionPolicy.NEW).thenAccept { answer ->
            val own = answer.fold({ false }, { it.host == wanted.target })
            if (own) client.closeIdleConnections(endpoint)
            val event =
                if (own) {
                    PathEvent.ProbeSucceeded(wanted.target, wanted.probeNumber)
                } else {
                    PathEvent.ProbeFailed(wanted.target, wanted.probeNumber)
                }
            loop.tell(DaemonEvent.ForPath(event))
        }
    }

    /** Each attempt has its connection for itself while it runs. */
    private fun end(wanted: PathDecision.EndStreams) {
        log.record("path-silent", "attempts" to wanted.attempts.joinToString(","))
        calls.all.forEach { call -> wanted.attempts.forEach(call::endAttempt) }
    }

    private fun tell(event: PathEvent) = loop.handle(DaemonEvent.ForPath(event))

    private companion object {
        /** The answer's head and its first token. */
        const val PIECES_BEFORE_PACE = 2L
        val GAP_BEFORE_TOKENS: Duration = Duration.ofSeconds(2)
        val GAP_BETWEEN_TOKENS: Duration = Duration.ofMillis(500)
    }
}
