/*
 * Tells a dead path from a dead target.
 *
 * Progress is judged by stream. A probe on a fresh connection decides: if it's answered, only the silent connection's
 * streams end; if several fail, the target is suspected.
 */
package org.vanillalink.dispatch.path

import org.vanillalink.model.Aggregate
import org.vanillalink.model.AttemptId
import org.vanillalink.model.HostId
import org.vanillalink.model.Transition
import java.time.Instant

private typealias PathTransition = Transition<PathState, PathDecision>

/** The open streams of one process. */
class PathHealth(
    private val settings: PathSettings = PathSettings(),
) : Aggregate<PathState, PathEvent, PathDecision> {
    override fun handle(
        state: PathState,
        event: PathEvent,
        now: Instant,
    ): Transition<PathState, PathDecision> = when (event) {
        is PathEvent.StreamOpened -> opened(state, event, now)
        is PathEvent.BytesReceived -> bytesReceived(state, event.attempt, now)
        is PathEvent.StreamClosed -> Transition(state.copy(streams = state.streams - event.attempt))
        is PathEvent.TargetReported -> reported(state, event)
        is PathEvent.ProbeAnswered -> probeAnswered(state, event, now)
        is PathEvent.ProbeFailed -> probeFailed(state, event, now)
        PathEvent.Tick -> tick(state, now)
    }

    private fun opened(
        state: PathState,
        event: PathEvent.StreamOpened,
        now: Instant,
    ): PathTransition {
        val stream = WatchedStream(event.target, event.connection, event.expectedGap, lastByteAt = now)
        return Transition(state.copy(streams = state.streams + (event.attempt to stream)))
    }

    private fun bytesReceived(
        state: PathState,
        attempt: AttemptId,
        now: Instant,
    ): PathTransition {
        val stream = state.streams[attempt] ?: return Transition(state)
        return Transition(state.copy(streams = state.streams + (attempt to stream.copy(lastByteAt = now))))
    }

    private fun reported(
        state: PathState,
        event: PathEvent.TargetReported,
    ): PathTransition {
        val streams =
            state.streams.mapValues { (attempt, stream) ->
                val shown = stream.target == event.target && attempt in event.running
                if (shown) stream.copy(reportedAt = event.askedAt) else stream
            }
        return Transition(state.copy(streams = streams))
    }

    private fun probeAnswered(
        state: PathState,
        event: PathEvent.ProbeAnswered,
        now: Instant,
    ): PathTransition {
        if (state.probes[event.target]?.probe != event.probe) return Transition(state)
        val dead = state.silentStreams(event.target, now).entries.groupBy({ it.value.connection }, { it.key })
        val ended = dead.map { (connection, attempts) -> PathDecision.EndStreams(connection, attempts.toSet()) }
        val next =
            state.copy(
                streams = state.streams - dead.values.flatten().toSet(),
                probes = state.probes - event.target,
            )
        return Transition(next, ended)
    }

    private fun probeFailed(
        state: PathState,
        event: PathEvent.ProbeFailed,
        now: Instant,
    ): PathTransition {
        val series = state.probes[event.target] ?: return Transition(state)
        if (series.probe != event.probe || series.nextAt != null) return Transition(state)
        val failures = series.failures + 1
        if (failures >= settings.probesUntilSuspected) return suspect(state, event.target)
        val waiting = series.copy(failures = failures, nextAt = now.plus(settings.probeInterval))
        return Transition(state.copy(probes = state.probes + (event.target to waiting)))
    }

    private fun suspect(
        state: PathState,
        target: HostId,
    ): PathTransition {
        val lost = state.streams.filterValues { it.target == target }
        val ended =
            lost.entries
                .groupBy({ it.value.connection }, { it.key })
                .map { (connection, attempts) -> PathDecision.EndStreams(connection, attempts.toSet()) }
        val next = state.copy(streams = state.streams - lost.keys, probes = state.probes - target)
        return Transition(next, listOf(PathDecision.SuspectTarget(target)) + ended)
    }

    private fun tick(
        state: PathState,
        now: Instant,
    ): PathTransition {
        val suspects =
            state.streams.values
                .filter { isSilent(it, now) }
                .map { it.target }
                .toSet()
        val due = suspects.filter { target -> state.probes[target].isDue(now) }
        val unchanged: PathTransition = Transition(state.copy(probes = state.probes.filterKeys { it in suspects }))
        return due.fold(unchanged) { done, target ->
            val probe = done.state.lastProbe + 1
            val series = ProbeSeries(probe, failures = done.state.probes[target]?.failures ?: 0)
            Transition(
                done.state.copy(lastProbe = probe, probes = done.state.probes + (target to series)),
                done.decisions + PathDecision.ProbeOnFreshConnection(target, probe),
            )
        }
    }

    private fun ProbeSeries?.isDue(now: Instant): Boolean {
        if (this == null) return true
        return nextAt != null && !now.isBefore(nextAt)
    }

    private fun PathState.silentStreams(
        target: HostId,
        now: Instant,
    ): Map<AttemptId, WatchedStream> = streams.filterValues { it.target == target && isSilent(it, now) }

    private fun isSilent(
        stream: WatchedStream,
        now: Instant,
    ): Boolean {
        val running = stream.reportedAt?.isAfter(stream.lastByteAt) ?: false
        val gaps = if (running) settings.gapsWhileReported else settings.gapsUntilSilent
        return now.isAfter(stream.lastByteAt.plus(stream.expectedGap.multipliedBy(gaps.toLong())))
    }
}
