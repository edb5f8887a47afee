/*
 * Distinguishes a broken connection from an unresponsive target.
 *
 * Progress is monitored for each stream. When a stream is silent, the target is probed on a new connection. If the
 * probe succeeds, only the streams of the silent connections end; if several probes in a row fail, the target is
 * suspected and all of its streams end.
 *
 * A sound target may be silent for a while, and answers the probe when it goes on. So a stream ends only if its target
 * has sent on another one meanwhile, or if it stays silent after the answer.
 */
package org.vanillalink.dispatch.path

import org.vanillalink.model.Aggregate
import org.vanillalink.model.AttemptId
import org.vanillalink.model.HostId
import org.vanillalink.model.Transition
import java.time.Instant

private typealias PathTransition = Transition<PathState, PathDecision>

/** Monitors the open streams of one daemon process. */
class PathHealth(
    private val settings: PathSettings = PathSettings(),
) : Aggregate<PathState, PathEvent, PathDecision> {
    override fun handle(
        state: PathState,
        event: PathEvent,
        now: Instant,
    ): Transition<PathState, PathDecision> = when (event) {
        is PathEvent.StreamOpened -> onStreamOpened(state, event, now)
        is PathEvent.BytesReceived -> onBytesReceived(state, event.attempt, now)
        is PathEvent.StreamClosed -> Transition(state.copy(streams = state.streams - event.attempt))
        is PathEvent.TargetReported -> onTargetReported(state, event)
        is PathEvent.ProbeSucceeded -> onProbeSucceeded(state, event, now)
        is PathEvent.ProbeFailed -> onProbeFailed(state, event, now)
        PathEvent.Tick -> onTick(state, now)
    }

    private fun onStreamOpened(
        state: PathState,
        event: PathEvent.StreamOpened,
        now: Instant,
    ): PathTransition {
        val stream = WatchedStream(event.target, event.connection, event.expectedGap, lastByteAt = now)
        return Transition(state.copy(streams = state.streams + (event.attempt to stream)))
    }

    private fun onBytesReceived(
        state: PathState,
        attempt: AttemptId,
        now: Instant,
    ): PathTransition {
        val stream = state.streams[attempt] ?: return Transition(state)
        val resumed = stream.copy(lastByteAt = now, probeAnsweredAt = null)
        return Transition(state.copy(streams = state.streams + (attempt to resumed)))
    }

    private fun onTargetReported(
        state: PathState,
        event: PathEvent.TargetReported,
    ): PathTransition {
        val streams =
            state.streams.mapValues { (attempt, stream) ->
                val isRunning = stream.target == event.target && attempt in event.runningAttempts
                if (isRunning) stream.copy(reportRequestedAt = event.requestedAt) else stream
            }
        return Transition(state.copy(streams = streams))
    }

    private fun onProbeSucceeded(
        state: PathState,
        event: PathEvent.ProbeSucceeded,
        now: Instant,
    ): PathTransition {
        if (state.probes[event.target]?.probeNumber != event.probeNumber) return Transition(state)
        val silentStreams = state.silentStreams(event.target, now)
        val stuckStreams = silentStreams.filterValues { state.hasTargetSentSince(it) }
        val waitingStreams =
            (silentStreams - stuckStreams.keys).mapValues { (_, stream) ->
                stream.copy(probeAnsweredAt = stream.probeAnsweredAt ?: now)
            }
        val next = state.copy(streams = state.streams + waitingStreams, probes = state.probes - event.target)
        return endStreams(next, stuckStreams)
    }

    private fun endStreams(
        state: PathState,
        ended: Map<AttemptId, WatchedStream>,
    ): PathTransition {
        val decisions =
            ended.entries
                .groupBy({ it.value.connection }, { it.key })
                .map { (connection, attempts) -> PathDecision.EndStreams(connection, attempts.toSet()) }
        return Transition(state.copy(streams = state.streams - ended.keys), decisions)
    }

    /** Whether the target of [stream] has sent on another stream for longer than [stream] usually pauses. */
    private fun PathState.hasTargetSentSince(stream: WatchedStream): Boolean =
        streams.values.any { it.target == stream.target && it.lastByteAt > stream.lastByteAt.plus(stream.expectedGap) }

    private fun onProbeFailed(
        state: PathState,
        event: PathEvent.ProbeFailed,
        now: Instant,
    ): PathTransition {
        val series = state.probes[event.target] ?: return Transition(state)
        if (series.probeNumber != event.probeNumber || series.nextProbeAt != null) return Transition(state)
        val failures = series.failures + 1
        if (failures >= settings.failedProbesUntilSuspected) return suspectTarget(state, event.target)
        val updatedSeries = series.copy(failures = failures, nextProbeAt = now.plus(settings.probeInterval))
        return Transition(state.copy(probes = state.probes + (event.target to updatedSeries)))
    }

    private fun suspectTarget(
        state: PathState,
        target: HostId,
    ): PathTransition {
        val targetStreams = state.streams.filterValues { it.target == target }
        val ended = endStreams(state.copy(probes = state.probes - target), targetStreams)
        return Transition(ended.state, listOf(PathDecision.SuspectTarget(target)) + ended.decisions)
    }

    private fun onTick(
        state: PathState,
        now: Instant,
    ): PathTransition {
        val ended = endStreams(state, state.streams.filterValues { isStuck(it, now) })
        val probed = probeSilentTargets(ended.state, now)
        return Transition(probed.state, ended.decisions + probed.decisions)
    }

    /** Whether [stream] has been silent for longer than it usually pauses since its target answered a probe. */
    private fun isStuck(
        stream: WatchedStream,
        now: Instant,
    ): Boolean {
        val probeAnsweredAt = stream.probeAnsweredAt ?: return false
        return isSilent(stream, now) && now.isAfter(probeAnsweredAt.plus(stream.expectedGap))
    }

    private fun probeSilentTargets(
        state: PathState,
        now: Instant,
    ): PathTransition {
        val silentTargets =
            state.streams.values
                .filter { isSilent(it, now) && it.probeAnsweredAt == null }
                .map { it.target }
                .toSet()
        val dueTargets = silentTargets.filter { target -> state.probes[target].isDue(now) }
        val initial: PathTransition = Transition(state.copy(probes = state.probes.filterKeys { it in silentTargets }))
        return dueTargets.fold(initial) { transition, target ->
            val probeNumber = transition.state.lastProbeNumber + 1
            val series = ProbeSeries(probeNumber, failures = transition.state.probes[target]?.failures ?: 0)
            Transition(
                transition.state.copy(
                    lastProbeNumber = probeNumber,
                    probes =
                        transition.state.probes + (target to series),
                ),
                transition.decisions + PathDecision.ProbeOnNewConnection(target, probeNumber),
            )
        }
    }

    private fun ProbeSeries?.isDue(now: Instant): Boolean {
        if (this == null) return true
        return nextProbeAt != null && !now.isBefore(nextProbeAt)
    }

    private fun PathState.silentStreams(
        target: HostId,
        now: Instant,
    ): Map<AttemptId, WatchedStream> = streams.filterValues { it.target == target && isSilent(it, now) }

    private fun isSilent(
        stream: WatchedStream,
        now: Instant,
    ): Boolean {
        val isReportedRunning = stream.reportRequestedAt?.isAfter(stream.lastByteAt) ?: false
        val gaps = if (isReportedRunning) settings.gapsUntilSilentWhileRunning else settings.gapsUntilSilent
        return now.isAfter(stream.lastByteAt.plus(stream.expectedGap.multipliedBy(gaps.toLong())))
    }
}
