package org.vanillalink.serving.peers

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Calculates how many messages per second one daemon receives in fleets of different sizes. */
internal class HeartbeatScheduleTest {
    private val testSubject = HeartbeatSchedule

    // Guards against daemons that delay callers' requests because they read the heartbeats of a whole fleet.
    @Test
    fun `the messages that a daemon receives fit its budget in a fleet of 32`() {
        assertTrue(messagesPerSecond(daemonsInDomain = 12, failureDomainCount = 3) <= MAX_MESSAGES_PER_SECOND)
    }

    @Test
    fun `the messages that a daemon receives stay within budget as a failure domain grows`() {
        val messageRates = listOf(15, 30, 60).map { messagesPerSecond(daemonsInDomain = it, failureDomainCount = 3) }
        assertTrue(messageRates.all { it <= MAX_MESSAGES_PER_SECOND }, "$messageRates")
    }

    @Test
    fun `a small site keeps the shortest heartbeat period`() {
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
    fun `a representative sends as often in a large failure domain as in a small one`() {
        val small = HeartbeatRole(isRepresentative = true, daemonsInDomain = 2, failureDomainCount = 3)
        val large = small.copy(daemonsInDomain = 14)
        assertEquals(testSubject.periodWithinDomain(small), testSubject.periodWithinDomain(large))
        assertEquals(testSubject.periodAcrossDomains(small), testSubject.periodAcrossDomains(large))
    }

    @Test
    fun `a peer stays alive after two consecutive lost datagrams`() {
        listOf(100L, 440L, 1_100L).forEach { period -> assertTrue(testSubject.livenessTimeout(period) >= 3 * period) }
    }

    /** Messages per second that a daemon receives that isn't a representative. */
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
        /**
         * The budget for control traffic is 23 KB per second; a message has about 300 bytes if its sender isn't a
         * representative.
         */
        const val MAX_MESSAGES_PER_SECOND = 76.0
    }
}
