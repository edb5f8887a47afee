package org.vanillalink.serving.peers

import org.vanillalink.model.DaemonId
import org.vanillalink.model.Endpoint
import org.vanillalink.model.FailureDomainId
import org.vanillalink.serving.IKEJA
import org.vanillalink.serving.balancing.PoisonReport
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

internal class StoreFollowersTest {
    private val own = OwnState(DaemonId("a"), IKEJA, storeAge = 0, isLeaving = false)
    private val apapa = FailureDomainId("apapa")
    private var sequence = 0L
    private val peers = directory(message("b"), message("c"), message("d"), message("z", domain = apapa))

    @Test
    fun `each daemon follows the store where few daemons are in the failure domain`() {
        assertEquals(emptyList(), select(directory(message("b"), message("c"), message("z", domain = apapa))))
        assertEquals(2, select(peers).size)
    }

    // Guards against daemons that each take others for the followers.
    @Test
    fun `all daemons of a failure domain select the same followers, the one with control first`() {
        val messages = listOf("a", "b", "c", "d", "e").map { message(it, term = if (it == "d") 3 else 0) }
        val selected =
            messages.map { ownMessage ->
                val others = directory(*messages.filter { it != ownMessage }.toTypedArray())
                val term = ownMessage.controlled.firstOrNull()?.term ?: 0
                StoreFollowers.select(own.copy(daemon = ownMessage.daemon), term, others, 0)
            }
        assertEquals(DaemonId("d"), selected.first().first())
        assertEquals(1, selected.toSet().size)
    }

    @Test
    fun `a follower that leaves, loses the store or ends is replaced`() {
        val first = select(peers).first { it != own.daemon }
        val leaving = peers.withMessage(message(first.value, isLeaving = true), 0)
        val cutOff = peers.withMessage(message(first.value, storeAge = 3_000), 0)

        assertFalse(first in select(leaving))
        assertFalse(first in select(cutOff))
        assertTrue(select(leaving).size == 2 && select(cutOff).size == 2)
        assertEquals(emptyList(), StoreFollowers.select(own, 0, peers, 1_000))
    }

    @Test
    fun `the daemons are spread over the followers`() {
        val followers = listOf(DaemonId("x"), DaemonId("y"))
        val chosen = (1..30).map { StoreSources().choose(DaemonId("entry-$it"), followers, 0) }
        assertTrue(chosen.groupBy { it }.all { it.value.size > 9 })
    }

    // Guards against a daemon that asks followers that died together, or stays with the store when they are back.
    @Test
    fun `a follower that failed isn't asked for a while, then again`() {
        val followers = listOf(DaemonId("x"), DaemonId("y"))
        val first = StoreSources().choose(own.daemon, followers, 0)!!
        val oneLost = StoreSources().withFailure(first, 0, isHistoryTooShort = false)
        val other = oneLost.choose(own.daemon, followers, 0)!!
        val bothLost = oneLost.withFailure(other, 0, isHistoryTooShort = true)

        assertEquals(followers.toSet(), setOf(first, other))
        assertEquals(null, bothLost.choose(own.daemon, followers, 999))
        assertEquals(other, bothLost.choose(own.daemon, followers, 1_000))
        assertEquals(first, bothLost.choose(own.daemon, followers, 3_000))
    }

    private fun select(directory: PeerDirectory) = StoreFollowers.select(own, 0, directory, 0)

    private fun directory(vararg messages: PeerMessage) =
        messages.fold(PeerDirectory()) { directory, message -> directory.withMessage(message, 0) }

    private fun message(
        daemon: String,
        domain: FailureDomainId = IKEJA,
        term: Long = 0,
        storeAge: Long = 0,
        isLeaving: Boolean = false,
    ) = PeerMessage(
        daemon = DaemonId(daemon),
        failureDomain = domain,
        endpoint = Endpoint("127.0.0.1", 1),
        startedAt = 0,
        sequence = ++sequence,
        storeAge = storeAge,
        isLeaving = isLeaving,
        period = 100,
        inFlight = emptyMap(),
        demand = emptyMap(),
        suspects = emptySet(),
        poison = PoisonReport(),
        leaving = emptySet(),
        controlled = if (term == 0L) emptyList() else listOf(ControlledDomain(domain, term, emptyList(), emptySet())),
    )
}
