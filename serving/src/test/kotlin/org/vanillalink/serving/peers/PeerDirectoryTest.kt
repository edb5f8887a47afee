package org.vanillalink.serving.peers

import org.vanillalink.model.DaemonId
import org.vanillalink.model.Endpoint
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.HostId
import org.vanillalink.serving.IKEJA
import org.vanillalink.serving.balancing.PoisonReport
import org.vanillalink.serving.control.AnnouncedGroup
import org.vanillalink.serving.targets.GroupKey
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

internal class PeerDirectoryTest {
    private val own = OwnState(DaemonId("b"), IKEJA, storeAge = 0, isLeaving = false)

    @Test
    fun `a daemon inside the failure domain takes precedence over others`() {
        val directory = PeerDirectory().withMessage(message("a", APAPA), now = 0)
        assertEquals(own.daemon, directory.selectController(IKEJA, own, ownTerm = 0, now = 100))
    }

    @Test
    fun `the daemon that has control keeps it`() {
        val directory = PeerDirectory().withMessage(message("c", IKEJA, term = 4), now = 0)
        assertEquals(DaemonId("c"), directory.selectController(IKEJA, own, ownTerm = 0, now = 100))
    }

    @Test
    fun `a daemon that falls silent loses control`() {
        val directory = PeerDirectory().withMessage(message("c", IKEJA, term = 4), now = 0)
        assertEquals(own.daemon, directory.selectController(IKEJA, own, ownTerm = 0, now = 1_001))
    }

    @Test
    fun `a daemon that alone has lost the store hands control to one that reaches it`() {
        val directory = PeerDirectory().withMessage(message("c", IKEJA), now = 0)
        val disconnected = own.copy(storeAge = 3_000)
        assertEquals(DaemonId("c"), directory.selectController(IKEJA, disconnected, ownTerm = 4, now = 100))
    }

    @Test
    fun `the daemon that has control keeps it while no daemon reaches the store`() {
        val directory = PeerDirectory().withMessage(message("c", IKEJA, storeAge = 3_000), now = 0)
        assertEquals(own.daemon, directory.selectController(IKEJA, own.copy(storeAge = 3_000), ownTerm = 4, now = 100))
    }

    @Test
    fun `a peer with a longer heartbeat period stays alive for longer`() {
        val directory = PeerDirectory().withMessage(message("c", APAPA, period = 1_100), now = 0)
        assertEquals(1, directory.alivePeers(now = 3_299).size)
        assertEquals(0, directory.alivePeers(now = 3_300).size)
    }

    @Test
    fun `the daemon that has control represents its failure domain`() {
        val directory = PeerDirectory().withMessage(message("c", IKEJA, term = 4), now = 0)
        assertFalse(directory.isRepresentative(own, hasControl = false, now = 100))
        assertTrue(directory.isRepresentative(own, hasControl = true, now = 100))
    }

    // Guards against requests that other failure domains count twice, so that they regard groups with free slots as
    // full.
    @Test
    fun `control of another failure domain does not make a daemon represent its own`() {
        val otherDomain = listOf(ControlledDomain(APAPA, 3, emptyList(), emptySet()))
        val ownView = PeerDirectory().withMessage(message("c", IKEJA).copy(controlled = otherDomain), now = 0)
        val otherView = PeerDirectory().withMessage(message("b", IKEJA, term = 4), now = 0)
        assertTrue(ownView.isRepresentative(own, hasControl = true, now = 100))
        assertFalse(otherView.isRepresentative(own.copy(daemon = DaemonId("c")), hasControl = false, now = 100))
        assertEquals(1, countRepresentatives(message("b", IKEJA), message("c", IKEJA).copy(controlled = otherDomain)))
    }

    @Test
    fun `one daemon represents a failure domain that no daemon controls`() {
        assertEquals(1, countRepresentatives(message("b", IKEJA), message("c", IKEJA)))
    }

    @Test
    fun `groups that are omitted as already announced are taken from the previous message`() {
        val groups = listOf(AnnouncedGroup(GroupKey("ikeja-m0-1", 1), "m0", listOf(HostId("i-1"))))
        val first =
            message(
                "c",
                IKEJA,
                term = 4,
            ).copy(controlled = listOf(ControlledDomain(IKEJA, 4, groups, emptySet())))
        val second =
            first.copy(
                sequence = 2,
                controlled = listOf(ControlledDomain(IKEJA, 4, null, emptySet(), isSameAsBefore = true)),
            )
        val directory = PeerDirectory().withMessage(first, now = 0).withMessage(second, now = 100)
        assertEquals(groups, directory.announcedDomains(now = 100).getValue(IKEJA).groups)
    }

    @Test
    fun `omitted groups that were never announced are unknown`() {
        val message = message("c", IKEJA, term = 4)
        val domainWithoutGroups = ControlledDomain(IKEJA, 4, null, emptySet(), isSameAsBefore = true)
        val directory = PeerDirectory().withMessage(message.copy(controlled = listOf(domainWithoutGroups)), now = 0)
        assertNull(directory.announcedDomains(now = 100).getValue(IKEJA).groups)
    }

    @Test
    fun `a late message of an earlier process instance changes nothing`() {
        val directory = PeerDirectory().withMessage(message("c", IKEJA, startedAt = 2), now = 0)
        assertEquals(directory, directory.withMessage(message("c", IKEJA, startedAt = 1, sequence = 99), now = 10))
    }

    /** How many of two daemons are representatives if neither has control of their domain. */
    private fun countRepresentatives(
        first: PeerMessage,
        second: PeerMessage,
    ): Int = listOf(first to second, second to first).count { (local, other) ->
        val directory = PeerDirectory().withMessage(other, now = 0)
        directory.isRepresentative(own.copy(daemon = local.daemon), hasControl = false, now = 100)
    }

    private fun message(
        daemon: String,
        failureDomain: FailureDomainId,
        term: Long = 0,
        storeAge: Long = 0,
        startedAt: Long = 1,
        sequence: Long = 1,
        period: Long = 100,
    ) = PeerMessage(
        daemon = DaemonId(daemon),
        failureDomain = failureDomain,
        endpoint = Endpoint("10.0.0.1", 1),
        startedAt = startedAt,
        sequence = sequence,
        storeAge = storeAge,
        isLeaving = false,
        period = period,
        inFlight = emptyMap(),
        demand = emptyMap(),
        suspects = emptySet(),
        poison = PoisonReport(),
        leaving = emptySet(),
        controlled = if (term == 0L) emptyList() else listOf(ControlledDomain(IKEJA, term, emptyList(), emptySet())),
    )

    private companion object {
        val APAPA = FailureDomainId("apapa")
    }
}
