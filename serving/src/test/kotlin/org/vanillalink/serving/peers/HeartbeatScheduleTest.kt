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
        assertTrue(messagesPerSecond(daemonsInDomain = 12, failureDomainCount = 3) <= MAX_MESSAGES_PER_SECOND)
    }

    @Test
    fun `what a daemon reads is bounded while a failure domain grows`() {
        val messageRates = listOf(15, 30, 60).map { messagesPerSecond(daemonsInDomain = it, failureDomainCount = 3) }
        assertTrue(messageRates.all { it <= MAX_MESSAGES_PER_SECOND }, "$messageRates")
    }

    @Test
    fun `a small site keeps its prompt heartbeats`() {
        assertEquals(
            100,
            testSubject.periodWithinDomain(
                HeartbeatRole(isRepresentative = false, daemonsInDomain = 2, failureDomainCount = 3),
            ),
        )
        assertEquals(
            100,
            testSubject.periodWithinDomain(
                HeartbeatRole(isRepresentative = true, daemonsInDomain = 2, failureDomainCount = 3),
            ),
        )
    }

    @Test
    fun `the word of a speaker is heard as promptly in a large failure domain as in a small one`() {
        val small = HeartbeatRole(isRepresentative = true, daemonsInDomain = 2, failureDomainCount = 3)
        val large = small.copy(daemonsInDomain = 14)
        assertEquals(testSubject.periodWithinDomain(small), testSubject.periodWithinDomain(large))
        assertEquals(testSubject.periodAcrossDomains(small), testSubject.periodAcrossDomains(large))
    }

    @Test
    fun `two lost datagrams in a row do not end a peer`() {
        listOf(100L, 440L, 1_100L).forEach { period -> assertTrue(testSubject.livenessTimeout(period) >= 3 * period) }
    }

    /** Messages that one daemon, which doesn't speak, reads a second. */
    private fun messagesPerSecond(
        daemonsInDomain: Int,
        failureDomainCount: Int,
    ): Double {
        val representative =
            HeartbeatRole(
                isRepresentative = true,
                daemonsInDomain = daemonsInDomain,
                failureDomainCount = failureDomainCount,
            )
        val other = representative.copy(isRepresentative = false)
        val ownDomain =
            frequency(testSubject.periodWithinDomain(representative)) +
                (daemonsInDomain - 2) * frequency(testSubject.periodWithinDomain(other))
        val otherDomain =
            frequency(testSubject.periodAcrossDomains(representative)) +
                (daemonsInDomain - 1) * frequency(testSubject.periodAcrossDomains(other))
        return ownDomain + (failureDomainCount - 1) * otherDomain
    }

    private fun frequency(period: Long): Double = 1_000.0 / period

    private companion object {
        /** Letter 1 gives 23 KB a second for control; a message of a daemon that doesn't speak has about 300 bytes. */
        const val MAX_MESSAGES_PER_SECOND = 76.0
    }
}
