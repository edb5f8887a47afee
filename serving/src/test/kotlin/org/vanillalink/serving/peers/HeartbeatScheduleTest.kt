package org.vanillalink.serving.peers

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Pattern: many daemons. What one of them reads a second, worked out for whole fleets. */
internal class HeartbeatScheduleTest {
    private val testSubject = HeartbeatSchedule

    // Guards against daemons that are late for their callers because they read heartbeats of a whole fleet (issue 14).
    @Test
    fun `what a daemon reads fits its budget for control in a fleet of 32`() {
        assertTrue(messagesRead(daemonsInside = 12, failureDomains = 3) <= BUDGET_MESSAGES)
    }

    @Test
    fun `what a daemon reads is bounded while a failure domain grows`() {
        val read = listOf(15, 30, 60).map { messagesRead(daemonsInside = it, failureDomains = 3) }
        assertTrue(read.all { it <= BUDGET_MESSAGES }, "$read")
    }

    @Test
    fun `a small site keeps its prompt heartbeats`() {
        assertEquals(100, testSubject.inside(HeartbeatPart(isSpeaker = false, daemonsInside = 2, failureDomains = 3)))
        assertEquals(100, testSubject.inside(HeartbeatPart(isSpeaker = true, daemonsInside = 2, failureDomains = 3)))
    }

    @Test
    fun `the word of a speaker is heard as promptly in a large failure domain as in a small one`() {
        val small = HeartbeatPart(isSpeaker = true, daemonsInside = 2, failureDomains = 3)
        val large = small.copy(daemonsInside = 14)
        assertEquals(testSubject.inside(small), testSubject.inside(large))
        assertEquals(testSubject.outside(small), testSubject.outside(large))
    }

    @Test
    fun `two lost datagrams in a row do not end a peer`() {
        listOf(100L, 440L, 1_100L).forEach { period -> assertTrue(testSubject.aliveFor(period) >= 3 * period) }
    }

    /** Messages that one daemon, which doesn't speak, reads a second. */
    private fun messagesRead(
        daemonsInside: Int,
        failureDomains: Int,
    ): Double {
        val speaker = HeartbeatPart(isSpeaker = true, daemonsInside = daemonsInside, failureDomains = failureDomains)
        val other = speaker.copy(isSpeaker = false)
        val inside = perSecond(testSubject.inside(speaker)) + (daemonsInside - 2) * perSecond(testSubject.inside(other))
        val domain =
            perSecond(testSubject.outside(speaker)) + (daemonsInside - 1) * perSecond(testSubject.outside(other))
        return inside + (failureDomains - 1) * domain
    }

    private fun perSecond(period: Long): Double = 1_000.0 / period

    private companion object {
        /** Letter 1 gives 23 KB a second for control; a message of a daemon that doesn't speak has about 300 bytes. */
        const val BUDGET_MESSAGES = 76.0
    }
}
