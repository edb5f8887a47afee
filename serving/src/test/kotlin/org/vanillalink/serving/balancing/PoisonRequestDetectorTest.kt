package org.vanillalink.serving.balancing

import org.vanillalink.model.HostId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

internal class PoisonRequestDetectorTest {
    private val testSubject = PoisonRequestDetector(strikesBeforeRefusal = 3)

    @Test
    fun `a request is refused after strikes at three targets`() {
        listOf("a", "b").forEach { testSubject.recordLocalStrike(Strike(REQUEST, HostId(it)), now = 0) }
        assertFalse(testSubject.isPoisonRequest(REQUEST, now = 1))
        testSubject.recordLocalStrike(Strike(REQUEST, HostId("c")), now = 1)
        assertTrue(testSubject.isPoisonRequest(REQUEST, now = 2))
    }

    @Test
    fun `repeated strikes at the same target count once`() {
        repeat(3) { testSubject.recordLocalStrike(Strike(REQUEST, HostId("a")), now = it.toLong()) }
        assertFalse(testSubject.isPoisonRequest(REQUEST, now = 3))
    }

    // Guards against heartbeats that grow with every strike because daemons keep announcing each other's strikes.
    @Test
    fun `strikes that two daemons announce to each other are not announced forever`() {
        val peer = PoisonRequestDetector()
        testSubject.recordLocalStrike(Strike(REQUEST, HostId("a")), now = 0)
        for (now in 0L..ANNOUNCED_MILLISECONDS * 3 step 100) {
            testSubject.localStrikesSince(now - ANNOUNCED_MILLISECONDS).forEach { peer.recordPeerStrike(it, now) }
            peer.localStrikesSince(now - ANNOUNCED_MILLISECONDS).forEach { testSubject.recordPeerStrike(it, now) }
        }
        assertEquals(emptyList(), testSubject.localStrikesSince(ANNOUNCED_MILLISECONDS * 2))
        assertEquals(emptyList(), peer.localStrikesSince(0))
    }

    @Test
    fun `a strike that peers announce repeatedly still expires`() {
        repeat(3) { index -> testSubject.recordPeerStrike(Strike(REQUEST, HostId("t$index")), now = 0) }
        repeat(3) { index -> testSubject.recordPeerStrike(Strike(REQUEST, HostId("t$index")), now = 40_000) }
        assertTrue(testSubject.isPoisonRequest(REQUEST, now = 59_000))
        assertFalse(testSubject.isPoisonRequest(REQUEST, now = 61_000))
    }

    private companion object {
        val REQUEST = RequestFingerprint("body")

        /** How long daemons announce each strike. */
        const val ANNOUNCED_MILLISECONDS = 1_000L
    }
}
