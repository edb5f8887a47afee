package org.vanillalink.serving.peers

import org.vanillalink.model.DaemonId
import org.vanillalink.model.FailureDomainId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Daemons of three failure domains, in which representatives end or can't be reached. */
internal class HeartbeatRoutesTest {
    private val fleet = HeartbeatFleet(DOMAINS.associateWith { 8 })

    // Guards against heartbeats between failure domains whose number grows with the square of the daemons.
    @Test
    fun `thirty daemons a failure domain send each other as many datagrams as a few would, and count each other`() {
        val large = HeartbeatFleet(DOMAINS.associateWith { 30 })
        large.run(4_000)
        large.datagramsAcrossDomains = 0

        large.run(4_000)

        assertTrue(large.datagramsAcrossDomains <= 4 * 40, "${large.datagramsAcrossDomains} datagrams in 4 s")
        assertEquals(setOf(90), budgetDaemons(large))
    }

    // Guards against announcements of broken groups that other failure domains miss when a representative ends.
    @Test
    fun `when a representative ends, both sides keep hearing the other through the next daemon`() {
        fleet.run(3_000)
        fleet.representative(IKEJA).isRunning = false
        val lastOfIkeja = fleet.now

        fleet.run(15_000) {
            assertTrue(fleet.running(IKEJA).all { it.hears(APAPA) && it.hears(LEKKI) }, "at ${fleet.now - lastOfIkeja}")
            if (fleet.now - lastOfIkeja > 1_500) assertTrue(fleet.running(APAPA).all { it.hears(IKEJA) })
        }

        assertEquals(setOf(23), budgetDaemons(fleet))
    }

    // Guards against failure domains that are controlled from outside while daemons inside live.
    @Test
    fun `no daemon outside is to control a failure domain while its representative changes`() {
        fleet.run(3_000)
        repeat(2) {
            fleet.representative(IKEJA).isRunning = false
            fleet.run(6_000) {
                fleet.running(APAPA).forEach { daemon ->
                    val selected = daemon.directory.selectController(IKEJA, daemon.own, ownTerm = 0, now = fleet.now)
                    assertEquals(IKEJA, fleet.daemons.getValue(selected!!).failureDomain)
                }
            }
        }
    }

    // Guards against a representative whose messages arrive while it receives none.
    @Test
    fun `a path that is cut in one direction between representatives is bypassed`() {
        fleet.run(3_000)
        val from = fleet.representative(APAPA)
        val to = fleet.representative(IKEJA)
        fleet.isCut = { sender, receiver -> sender === from && receiver === to }
        fleet.run(4_000)

        fleet.run(15_000) { assertTrue(fleet.running(IKEJA).all { it.hears(APAPA) }, "at ${fleet.now}") }
        assertEquals(setOf(24), budgetDaemons(fleet))
    }

    // Guards against budgets that a daemon shares with too few others because its representative doesn't reach it.
    @Test
    fun `a daemon that its representative doesn't reach asks the other failure domains itself`() {
        fleet.run(3_000)
        val representative = fleet.representative(IKEJA)
        val unreached = fleet.running(IKEJA).first { it !== representative }
        fleet.isCut = { sender, receiver -> sender === representative && receiver === unreached }

        fleet.run(30_000) {
            assertTrue(
                unreached.directory.budgetDaemons(fleet.now) >= 23,
                "${unreached.directory.budgetDaemons(fleet.now)}",
            )
        }
    }

    // Guards against a failure domain that two daemons represent after its daemons have lost sight of each other.
    @Test
    fun `while two daemons represent a failure domain, all are counted once`() {
        fleet.run(3_000)
        val (left, right) = fleet.running(IKEJA).let { it.take(4) to it.drop(4) }
        fleet.isCut =
            { sender, receiver -> (sender in left && receiver in right) || (sender in right && receiver in left) }
        fleet.run(10_000)
        assertEquals(2, fleet.running(IKEJA).count { it.status.representsDomain })

        fleet.run(10_000) { assertTrue(fleet.running(APAPA).all { it.directory.budgetDaemons(fleet.now) == 24 }) }
    }

    // Guards against groups without a controller after all daemons of a failure domain have ended.
    @Test
    fun `a failure domain without daemons is noticed, and heard again soon after they return`() {
        fleet.run(3_000)
        fleet.running(IKEJA).forEach { it.isRunning = false }
        fleet.run(9_000)
        val selected = fleet.running(APAPA).first().let { it.directory.selectController(IKEJA, it.own, 0, fleet.now) }
        assertTrue(fleet.daemons.getValue(selected!!).failureDomain != IKEJA)
        fleet.run(20_000)

        fleet.daemons.values.forEach { it.isRunning = true }
        fleet.run(1_000)

        assertTrue(fleet.running().all { daemon -> DOMAINS.all { it == daemon.failureDomain || daemon.hears(it) } })
    }

    @Test
    fun `daemons of few, and of the version before, are sent messages directly`() {
        val small = HeartbeatFleet(DOMAINS.associateWith { 3 })
        val mixed = HeartbeatFleet(DOMAINS.associateWith { 5 })
        mixed.daemons.values
            .filter { it.failureDomain == IKEJA }
            .take(2)
            .forEach { it.isOfEarlierVersion = true }
        listOf(small, mixed).forEach { it.run(10_000) }

        listOf(small, mixed).forEach { sites ->
            val sender = sites.running(APAPA).first { !it.status.representsDomain }
            val receivers = sites.running(IKEJA).map { it.id }
            assertEquals(receivers.associateWith { HeartbeatPath.ACROSS_DOMAINS }, paths(sites, sender, receivers))
            assertEquals(setOf(sites.daemons.size), budgetDaemons(sites))
        }
        val member = mixed.running(LEKKI).first { !it.status.representsDomain }
        assertNull(paths(mixed, member, mixed.running(APAPA).map { it.id }).values.firstOrNull())
    }

    private fun paths(
        sites: HeartbeatFleet,
        sender: HeartbeatFleet.Daemon,
        receivers: List<DaemonId>,
    ): Map<DaemonId, HeartbeatPath> {
        val status = OwnStatus(sender.own, sender.directory, emptyList(), DOMAINS.size, sites.now)
        return status.routes(emptySet()).paths(receivers)
    }

    private fun budgetDaemons(sites: HeartbeatFleet) =
        sites.running().map { it.directory.budgetDaemons(sites.now) }.toSet()

    private companion object {
        val IKEJA = FailureDomainId("ikeja")
        val APAPA = FailureDomainId("apapa")
        val LEKKI = FailureDomainId("lekki")
        val DOMAINS = listOf(IKEJA, APAPA, LEKKI)
    }
}
