package org.vanillalink.dispatch.path

import org.vanillalink.model.AttemptId
import org.vanillalink.model.HostId
import java.time.Duration
import java.time.Instant
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class PathHealthTest {
    private val testSubject = PathHealth()
    private val target = HostId("h")
    private val silent = AttemptId("silent")
    private val active = AttemptId("lively")
    private var state = PathState()

    @Test
    fun `a silent connection ends only its own streams while the target responds`() {
        openBoth()
        at(3, PathEvent.BytesReceived(active))
        val probe = at(4, PathEvent.Tick).single() as PathDecision.ProbeOnNewConnection

        val decisions = at(5, PathEvent.ProbeSucceeded(target, probe.probeNumber))

        assertEquals(listOf<PathDecision>(PathDecision.EndStreams(ConnectionId("c1"), setOf(silent))), decisions)
        assertEquals(setOf(active), state.streams.keys)
    }

    // Guards against ending a sound target's streams because it answers a probe first when it goes on after a silence.
    @Test
    fun `streams go on if their target was silent and answers the probe before it sends on`() {
        openBoth()
        val probe = at(4, PathEvent.Tick).single() as PathDecision.ProbeOnNewConnection

        val decisions =
            at(5, PathEvent.ProbeSucceeded(target, probe.probeNumber)) +
                at(5, PathEvent.Tick) +
                at(6, PathEvent.BytesReceived(silent)) +
                at(6, PathEvent.BytesReceived(active)) +
                at(7, PathEvent.Tick)

        assertEquals(emptyList(), decisions)
        assertEquals(setOf(silent, active), state.streams.keys)
    }

    @Test
    fun `a stream ends if it stays silent after its target has answered the probe`() {
        openBoth()
        val probe = at(4, PathEvent.Tick).single() as PathDecision.ProbeOnNewConnection
        at(5, PathEvent.ProbeSucceeded(target, probe.probeNumber))
        at(5, PathEvent.BytesReceived(active))

        assertEquals(emptyList(), at(6, PathEvent.Tick))
        assertEquals(
            listOf<PathDecision>(PathDecision.EndStreams(ConnectionId("c1"), setOf(silent))),
            at(7, PathEvent.Tick),
        )
        assertEquals(setOf(active), state.streams.keys)
    }

    @Test
    fun `a target is suspected only after several failed probes`() {
        openBoth()

        val decisions =
            (4L..12L).flatMap { second ->
                at(second, PathEvent.Tick).flatMap { decision ->
                    val probe = decision as PathDecision.ProbeOnNewConnection
                    listOf(probe) + at(second, PathEvent.ProbeFailed(target, probe.probeNumber))
                }
            }

        val suspected = decisions.indexOfFirst { it is PathDecision.SuspectTarget }
        assertEquals(3, decisions.take(suspected).count { it is PathDecision.ProbeOnNewConnection })
    }

    @Test
    fun `a duplicate failure of one probe counts once`() {
        openBoth()
        val probe = (at(4, PathEvent.Tick).single() as PathDecision.ProbeOnNewConnection).probeNumber

        val decisions = (1..5).flatMap { at(4, PathEvent.ProbeFailed(target, probe)) }

        assertTrue(decisions.isEmpty())
        assertEquals(1, state.probes.getValue(target).failures)
    }

    @Test
    fun `a slow engine that sends keep-alive comments is not probed`() {
        openBoth()

        val decisions =
            (1L..60L).flatMap { second ->
                at(second, PathEvent.BytesReceived(silent)) +
                    at(second, PathEvent.BytesReceived(active)) +
                    at(second, PathEvent.Tick)
            }

        assertTrue(decisions.isEmpty())
    }

    @Test
    fun `a slow engine whose report lists the attempt as running gets a longer but limited time`() {
        at(0, PathEvent.StreamOpened(silent, target, ConnectionId("c1"), Duration.ofSeconds(1)))
        at(2, PathEvent.TargetReported(target, setOf(silent), requestedAt = Instant.EPOCH.plusSeconds(2)))

        assertTrue(at(4, PathEvent.Tick).isEmpty())
        assertEquals(1, at(13, PathEvent.Tick).size)
    }

    private fun openBoth() {
        at(0, PathEvent.StreamOpened(silent, target, ConnectionId("c1"), Duration.ofSeconds(1)))
        at(0, PathEvent.StreamOpened(active, target, ConnectionId("c2"), Duration.ofSeconds(1)))
    }

    private fun at(
        second: Long,
        event: PathEvent,
    ): List<PathDecision> {
        val transition = testSubject.handle(state, event, Instant.EPOCH.plusSeconds(second))
        state = transition.state
        return transition.decisions
    }
}
