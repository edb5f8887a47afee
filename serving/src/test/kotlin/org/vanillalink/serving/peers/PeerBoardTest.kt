package org.vanillalink.serving.peers

import org.vanillalink.model.DaemonId
import org.vanillalink.model.FailureDomainId
import org.vanillalink.serving.IKEJA
import kotlin.test.Test
import kotlin.test.assertEquals

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
    fun `a message of an earlier run that comes late changes nothing`() {
        val board = PeerBoard().heard(message("c", IKEJA, startedAt = 2), now = 0)
        assertEquals(board, board.heard(message("c", IKEJA, startedAt = 1, sequence = 99), now = 10))
    }

    private fun message(
        daemon: String,
        failureDomain: FailureDomainId,
        term: Long = 0,
        storeAge: Long = 0,
        startedAt: Long = 1,
        sequence: Long = 1,
    ) = PeerMessage(
        daemon = DaemonId(daemon),
        failureDomain = failureDomain,
        startedAt = startedAt,
        sequence = sequence,
        storeAge = storeAge,
        isLeaving = false,
        inFlight = emptyMap(),
        suspects = emptySet(),
        strikes = emptyList(),
        controlled = if (term == 0L) emptyList() else listOf(ControlledDomain(IKEJA, term, emptyList(), emptySet())),
    )

    private companion object {
        val APAPA = FailureDomainId("apapa")
    }
}
