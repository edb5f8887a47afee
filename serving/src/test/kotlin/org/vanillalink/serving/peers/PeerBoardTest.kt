package org.vanillalink.serving.peers

import org.vanillalink.model.DaemonId
import org.vanillalink.model.Endpoint
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.HostId
import org.vanillalink.serving.IKEJA
import org.vanillalink.serving.control.AnnouncedGroup
import org.vanillalink.serving.targets.GroupKey
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

internal class PeerBoardTest {
    private val own = OwnState(DaemonId("b"), IKEJA, storeAge = 0, isLeaving = false)

    @Test
    fun `a daemon inside the failure domain goes before others`() {
        val board = PeerBoard().heard(message("a", APAPA), now = 0)
        assertEquals(own.daemon, board.controllerFor(IKEJA, own, ownTerm = 0, now = 100))
    }

    @Test
    fun `the daemon that has control keeps it`() {
        val board = PeerBoard().heard(message("c", IKEJA, term = 4), now = 0)
        assertEquals(DaemonId("c"), board.controllerFor(IKEJA, own, ownTerm = 0, now = 100))
    }

    @Test
    fun `a daemon that falls silent loses control`() {
        val board = PeerBoard().heard(message("c", IKEJA, term = 4), now = 0)
        assertEquals(own.daemon, board.controllerFor(IKEJA, own, ownTerm = 0, now = 1_001))
    }

    @Test
    fun `a daemon alone without the store hands control to one that has it`() {
        val board = PeerBoard().heard(message("c", IKEJA), now = 0)
        val cutOff = own.copy(storeAge = 3_000)
        assertEquals(DaemonId("c"), board.controllerFor(IKEJA, cutOff, ownTerm = 4, now = 100))
    }

    @Test
    fun `while nobody reaches the store control stays where it is`() {
        val board = PeerBoard().heard(message("c", IKEJA, storeAge = 3_000), now = 0)
        assertEquals(own.daemon, board.controllerFor(IKEJA, own.copy(storeAge = 3_000), ownTerm = 4, now = 100))
    }

    @Test
    fun `a peer that is seldom heard stays alive for longer`() {
        val board = PeerBoard().heard(message("c", APAPA, period = 1_100), now = 0)
        assertEquals(1, board.alive(now = 3_299).size)
        assertEquals(0, board.alive(now = 3_300).size)
    }

    @Test
    fun `the daemon that has control speaks for its failure domain`() {
        val board = PeerBoard().heard(message("c", IKEJA, term = 4), now = 0)
        assertFalse(board.isSpeaker(own, hasControl = false, now = 100))
        assertTrue(board.isSpeaker(own, hasControl = true, now = 100))
    }

    // Guards against requests that are counted twice outside, so that groups with room are taken as full.
    @Test
    fun `control of another failure domain does not make a daemon speak for its own`() {
        val elsewhere = listOf(ControlledDomain(APAPA, 3, emptyList(), emptySet()))
        val seenByOwn = PeerBoard().heard(message("c", IKEJA).copy(controlled = elsewhere), now = 0)
        val seenByOther = PeerBoard().heard(message("b", IKEJA, term = 4), now = 0)
        assertTrue(seenByOwn.isSpeaker(own, hasControl = true, now = 100))
        assertFalse(seenByOther.isSpeaker(own.copy(daemon = DaemonId("c")), hasControl = false, now = 100))
        assertEquals(1, speakers(message("b", IKEJA), message("c", IKEJA).copy(controlled = elsewhere)))
    }

    @Test
    fun `where nobody has control one daemon inside speaks`() {
        assertEquals(1, speakers(message("b", IKEJA), message("c", IKEJA)))
    }

    @Test
    fun `groups that were told before are left out and still known`() {
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
        val board = PeerBoard().heard(first, now = 0).heard(second, now = 100)
        assertEquals(groups, board.announced(now = 100).getValue(IKEJA).groups)
    }

    @Test
    fun `groups that were left out and never told are unknown`() {
        val message = message("c", IKEJA, term = 4)
        val omitted = ControlledDomain(IKEJA, 4, null, emptySet(), isSameAsBefore = true)
        val board = PeerBoard().heard(message.copy(controlled = listOf(omitted)), now = 0)
        assertNull(board.announced(now = 100).getValue(IKEJA).groups)
    }

    @Test
    fun `a message of an earlier run that comes late changes nothing`() {
        val board = PeerBoard().heard(message("c", IKEJA, startedAt = 2), now = 0)
        assertEquals(board, board.heard(message("c", IKEJA, startedAt = 1, sequence = 99), now = 10))
    }

    /** How many of two daemons speak, where neither has control inside. */
    private fun speakers(
        first: PeerMessage,
        second: PeerMessage,
    ): Int = listOf(first to second, second to first).count { (self, other) ->
        val board = PeerBoard().heard(other, now = 0)
        board.isSpeaker(own.copy(daemon = self.daemon), hasControl = false, now = 100)
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
        strikes = emptyList(),
        leaving = emptySet(),
        controlled = if (term == 0L) emptyList() else listOf(ControlledDomain(IKEJA, term, emptyList(), emptySet())),
    )

    private companion object {
        val APAPA = FailureDomainId("apapa")
    }
}
