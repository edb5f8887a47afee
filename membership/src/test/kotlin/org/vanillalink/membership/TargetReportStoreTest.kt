package org.vanillalink.membership

import org.vanillalink.model.BootId
import org.vanillalink.model.DaemonId
import org.vanillalink.model.HostId
import org.vanillalink.model.TargetPhase
import org.vanillalink.model.TargetReport
import java.time.Duration
import java.time.Instant
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class TargetReportStoreTest {
    private val host = HostId("h")
    private val observer = DaemonId("o")
    private val peer = DaemonId("p")
    private val freshness = Duration.ofSeconds(2)

    // The clocks of the two hosts differ by three hours.
    private val observerNow = Instant.EPOCH
    private val peerNow = Instant.EPOCH.plus(Duration.ofHours(3))

    private fun report(
        sequence: Long,
        phase: TargetPhase = TargetPhase.READY,
    ) = TargetReport(host, BootId("b"), sequence, phase)

    @Test
    fun `each target has one observer, and a lost daemon moves only its own targets`() {
        val targets = List(364) { HostId("h$it") }
        val daemons = List(14) { DaemonId("d$it") }

        val before = RendezvousHash.assignObservers(targets, daemons)
        val after = RendezvousHash.assignObservers(targets, daemons.drop(1))

        val moved = targets.filter { before[it] != after[it] }
        assertTrue(moved.all { before[it] == daemons.first() })
        val shares = before.values.groupingBy { it }.eachCount()
        assertTrue(shares.size == 14 && shares.values.all { it in 10..50 }, "$shares")
    }

    @Test
    fun `an unchanged report is only confirmed, and its age is measured by the receiver's clock`() {
        val testSubject = TargetReportStore(observer).withReport(report(1), observerNow)
        val first = testSubject.buildDelta(peer, freshness, observerNow)
        val later = observerNow.plusSeconds(5)
        val reconfirmed = testSubject.acknowledge(peer, first.change).withReport(report(2), later)

        val second = reconfirmed.buildDelta(peer, freshness, later.plusMillis(300))
        val received =
            TargetReportStore(peer).withDelta(first, peerNow).withDelta(second, peerNow.plusSeconds(5))

        assertEquals(emptyList(), second.changed)
        assertEquals(mapOf(host to ReportConfirmation(300L, sequence = 2)), second.stillFresh)
        assertEquals(300L, received.report(host, peerNow.plusSeconds(5))?.ageMilliseconds)
    }

    @Test
    fun `a peer's confirmation applies even if this daemon has queried the target itself in between`() {
        val first = TargetReportStore(observer).withReport(report(1), observerNow)
        val delivered = first.buildDelta(peer, freshness, observerNow)
        val reconfirmed = first.acknowledge(peer, delivered.change).withReport(report(9), observerNow.plusSeconds(5))
        val testSubject =
            TargetReportStore(
                peer,
            ).withDelta(delivered, peerNow).withReport(report(7), peerNow.plusSeconds(3))

        val delta = reconfirmed.buildDelta(peer, freshness, observerNow.plusSeconds(5))
        val confirmed = testSubject.withDelta(delta, peerNow.plusSeconds(5)).report(host, peerNow.plusSeconds(5))

        assertEquals(9, confirmed?.report?.sequence)
        assertEquals(0, confirmed?.ageMilliseconds)
    }

    @Test
    fun `an observer's confirmation does not apply to the report of another observer`() {
        val first = TargetReportStore(observer).withReport(report(1, TargetPhase.LOADING), observerNow)
        val delivered = first.buildDelta(peer, freshness, observerNow)
        val reconfirmed =
            first
                .acknowledge(
                    peer,
                    delivered.change,
                ).withReport(report(3, TargetPhase.LOADING), observerNow)
        val other = TargetReportStore(DaemonId("other")).withReport(report(2), observerNow)
        val testSubject =
            TargetReportStore(
                peer,
            ).withDelta(delivered, peerNow).withDelta(other.buildDelta(peer, freshness, observerNow), peerNow)

        val later = peerNow.plusSeconds(1)
        val confirmed =
            testSubject
                .withDelta(
                    reconfirmed.buildDelta(peer, freshness, observerNow),
                    later,
                ).report(host, later)

        assertEquals(TargetPhase.LOADING, confirmed?.report?.phase)
    }

    @Test
    fun `a report whose delta was lost is sent again and its old version is not confirmed`() {
        val first = TargetReportStore(observer).withReport(report(1), observerNow)
        val acknowledged = first.acknowledge(peer, first.changeCount)
        val testSubject = acknowledged.withReport(report(2, TargetPhase.LOADING), observerNow.plusSeconds(1))

        testSubject.buildDelta(peer, freshness, observerNow.plusSeconds(1))
        val second = testSubject.buildDelta(peer, freshness, observerNow.plusSeconds(2))

        assertEquals(listOf(TargetPhase.LOADING), second.changed.map { it.report.phase })
        assertEquals(emptyMap(), second.stillFresh)
    }

    @Test
    fun `a late delta does not replace a newer report, and a target that is not queried is not confirmed`() {
        val old = TargetReportStore(observer).withReport(report(1), observerNow)
        val new = old.withReport(report(2, TargetPhase.EMPTY), observerNow.plusSeconds(1))
        val late = old.buildDelta(peer, freshness, observerNow)
        val current = new.buildDelta(peer, freshness, observerNow.plusSeconds(1))

        val testSubject = TargetReportStore(peer).withDelta(current, peerNow).withDelta(late, peerNow)

        assertEquals(TargetPhase.EMPTY, testSubject.report(host, peerNow)?.report?.phase)
        val notQueried = new.acknowledge(peer, new.changeCount).buildDelta(peer, freshness, observerNow.plusSeconds(10))
        assertEquals(emptyMap(), notQueried.stillFresh)
    }
}
