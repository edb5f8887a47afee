package org.vanillalink.serving.choice

import org.vanillalink.model.HostId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

internal class RepeatedFailuresTest {
    private val testSubject = RepeatedFailures(strikesBeforeRefusal = 3)

    @Test
    fun `a request is refused once it has struck three targets`() {
        listOf("a", "b").forEach { testSubject.struck(Strike(REQUEST, HostId(it)), now = 0) }
        assertFalse(testSubject.refuses(REQUEST, now = 1))
        testSubject.struck(Strike(REQUEST, HostId("c")), now = 1)
        assertTrue(testSubject.refuses(REQUEST, now = 2))
    }

    @Test
    fun `the same strike told twice counts once`() {
        repeat(3) { testSubject.struck(Strike(REQUEST, HostId("a")), now = it.toLong()) }
        assertFalse(testSubject.refuses(REQUEST, now = 3))
    }

    // Guards against heartbeats that grow with every strike, since daemons told each other's on for ever (issue 14).
    @Test
    fun `strikes that two daemons tell each other are not told for ever`() {
        val peer = RepeatedFailures()
        testSubject.struck(Strike(REQUEST, HostId("a")), now = 0)
        for (now in 0L..TOLD_FOR * 3 step 100) {
            testSubject.since(now - TOLD_FOR).forEach { peer.heard(it, now) }
            peer.since(now - TOLD_FOR).forEach { testSubject.heard(it, now) }
        }
        assertEquals(emptyList(), testSubject.since(TOLD_FOR * 2))
        assertEquals(emptyList(), peer.since(0))
    }

    @Test
    fun `a strike that peers tell again and again is forgotten all the same`() {
        repeat(3) { index -> testSubject.heard(Strike(REQUEST, HostId("t$index")), now = 0) }
        repeat(3) { index -> testSubject.heard(Strike(REQUEST, HostId("t$index")), now = 40_000) }
        assertTrue(testSubject.refuses(REQUEST, now = 59_000))
        assertFalse(testSubject.refuses(REQUEST, now = 61_000))
    }

    private companion object {
        val REQUEST = RequestFingerprint("body")

        /** Milliseconds; how long daemons tell each strike. */
        const val TOLD_FOR = 1_000L
    }
}
