package org.vanillalink.serving.balancing

import org.vanillalink.serving.targets.GroupKey
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Daemons that send to one group, whose reports reach each other after a while. */
internal class StandingGroupsTest {
    private val daemons = List(DAEMONS) { StandingGroups(TrialSchedule(Random(it))) }

    // Guards against first attempts that each daemon loses at a group that others have seen stop.
    @Test
    fun `all daemons stop sending to a group once one has seen its streams silent`() {
        silence(daemons[0], since = 1_000, now = 1_150)
        val version = daemons[0].version
        deliverReports(now = 1_250)

        assertEquals(1, version)
        assertTrue(daemons.all { it.isStanding(GROUP) })
        // Those that see it themselves now have no need to tell the others once more.
        silence(daemons[1], since = 1_000, now = 1_260)
        assertEquals(0, daemons[1].version)
    }

    // Guards against seconds without requests to a sound group that was silent for a moment.
    @Test
    fun `all daemons send to a group again once one has had a byte of it`() {
        silence(daemons[0], since = 1_000, now = 1_200)
        deliverReports(now = 1_300)
        daemons[2].recordProgress(GROUP, now = 2_000)
        assertEquals(1, daemons[2].version)
        deliverReports(now = 2_100, from = 2..2)

        assertTrue(daemons.none { it.isStanding(GROUP) })
        val moving = daemons[1].takeChanges().last()
        assertEquals(StandingChange(GROUP, 800, isReportedByPeer = true, trials = 0), moving)
    }

    @Test
    fun `a report of a silence that a byte has interrupted has no effect, and is refuted`() {
        daemons.drop(1).take(1).forEach { it.recordProgress(GROUP, now = 1_220) }
        silence(daemons[0], since = 1_000, now = 1_250)
        deliverReports(now = 1_300)

        assertFalse(daemons[1].isStanding(GROUP))
        assertEquals(1, daemons[1].version)
        assertTrue(daemons[2].isStanding(GROUP))
        deliverReports(now = 1_400, from = 1..1)
        assertFalse(daemons[2].isStanding(GROUP))
    }

    // A path from here may be cut in one direction, while the peers' paths work.
    @Test
    fun `a daemon that finds the group silent again after a peer's word follows only its own streams`() {
        silence(daemons[0], since = 1_000, now = 1_200)
        moving(daemons[0], now = 1_300)
        assertFalse(daemons[0].isStanding(GROUP))

        silence(daemons[0], since = 1_300, now = 1_500)
        moving(daemons[0], now = 1_600)
        assertTrue(daemons[0].isStanding(GROUP))
        daemons[0].recordProgress(GROUP, now = 1_700)
        assertFalse(daemons[0].isStanding(GROUP))
    }

    @Test
    fun `progress seen in another failure domain doesn't open a group whose silence was seen here`() {
        silence(daemons[0], since = 1_000, now = 1_200)
        moving(daemons[0], now = 1_300, isNear = false)

        assertTrue(daemons[0].isStanding(GROUP))
    }

    // Guards against requests that each of many daemons sends to a standing group every second.
    @Test
    fun `daemons take turns with trials, which become rarer`() {
        daemons.forEach { silence(it, since = 1_000, now = 1_200) }
        val trials = (1_200L..61_200L step 50).flatMap { now -> trialsAt(now).map { now } }

        assertTrue(trials.count { it < 7_200 } in 3..20, "${trials.count { it < 7_200 }}")
        assertTrue(trials.count { it in 31_200..61_200 } in 5..30, "${trials.count { it >= 31_200 }}")
    }

    // Guards against a group that nobody uses any more, since all streams have left it.
    @Test
    fun `a group that has recovered without streams is found by a trial and used by all daemons`() {
        daemons.forEach { silence(it, since = 1_000, now = 1_200) }
        val foundAt = (2_000L..20_000L step 50).first { trialsAt(it).isNotEmpty() }
        val finder = daemons.first { it.isStanding(GROUP) }
        finder.recordProgress(GROUP, foundAt + 100)
        deliverReports(now = foundAt + 200, from = daemons.indexOf(finder)..daemons.indexOf(finder))

        assertTrue(daemons.none { it.isStanding(GROUP) })
        assertTrue(foundAt < 4_500, "$foundAt")
    }

    @Test
    fun `a trial that is due waits a while for a request that can have a second attempt`() {
        silence(daemons[0], since = 1_000, now = 1_200)
        val dueAt = (1_200L..60_000L step 10).first { daemons[0].isTrialDue(GROUP, isHedgeable = true, it) }

        assertFalse(daemons[0].isTrialDue(GROUP, isHedgeable = false, dueAt + 1_900))
        assertTrue(daemons[0].isTrialDue(GROUP, isHedgeable = false, dueAt + 2_100))
    }

    @Test
    fun `a single request that waits for its first event stops this daemon alone`() {
        daemons[0].recordSilence(GROUP, ObservedSilence(600, 600, hasStartedAnswer = false), now = 1_600, DAEMONS)
        deliverReports(now = 1_700)

        assertEquals(1, daemons.count { it.isStanding(GROUP) })
    }

    private fun silence(
        daemon: StandingGroups,
        since: Long,
        now: Long,
    ) = daemon.recordSilence(GROUP, ObservedSilence(now - since, 150, hasStartedAnswer = true), now, DAEMONS)

    private fun moving(
        daemon: StandingGroups,
        now: Long,
        isNear: Boolean = true,
    ) = daemon.recordReport(ReportedProgress(GROUP, 10, isStanding = false), isNear, now, DAEMONS)

    private fun deliverReports(
        now: Long,
        from: IntRange = 0..0,
    ) = from.forEach { sender ->
        val reports = daemons[sender].report(includesHeard = false, now)
        daemons.filter { it !== daemons[sender] }.forEach { peer ->
            reports.forEach { peer.recordReport(it, isNear = true, now, DAEMONS) }
        }
    }

    private fun trialsAt(now: Long) = daemons.filter { it.isTrialDue(GROUP, isHedgeable = true, now) }.onEach {
        assertTrue(it.recordSent(GROUP, now, DAEMONS))
    }

    private companion object {
        const val DAEMONS = 31
        val GROUP = GroupKey("ikeja-m0-7", 7)
    }
}
