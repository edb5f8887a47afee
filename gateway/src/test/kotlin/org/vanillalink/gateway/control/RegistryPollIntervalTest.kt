package org.vanillalink.gateway.control

import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Many daemons follow a registry that changes all the time; their requests must not overload the store. */
internal class RegistryPollIntervalTest {
    private val testSubject = RegistryPollInterval
    private val drainPeriod = Duration.ofMillis(2_000)

    @Test
    fun `daemons of a small site poll at the minimum interval`() {
        assertEquals(Duration.ofMillis(200), testSubject.compute(hasControl = false, daemonCount = 5, drainPeriod))
    }

    @Test
    fun `a daemon that has control polls at the minimum interval in any fleet`() {
        assertEquals(Duration.ofMillis(200), testSubject.compute(hasControl = true, daemonCount = 32, drainPeriod))
    }

    @Test
    fun `a fleet of 32 uses at most a fiftieth of what a small site's store allows`() {
        val callsPerSecond = 32 / intervalSeconds(32)
        assertTrue(callsPerSecond <= SMALL_STORE_CALLS_PER_SECOND / 50, "$callsPerSecond calls per second")
    }

    @Test
    fun `a leaving target is read within half of the drain period in any fleet`() {
        assertTrue(testSubject.compute(hasControl = false, daemonCount = 450, drainPeriod) <= Duration.ofMillis(1_000))
    }

    @Test
    fun `a large fleet with a longer drain period polls less often`() {
        val interval =
            testSubject.compute(hasControl = false, daemonCount = 450, drainPeriod = Duration.ofMillis(4_000))
        assertEquals(Duration.ofMillis(2_000), interval)
    }

    private fun intervalSeconds(daemons: Int): Double =
        testSubject.compute(hasControl = false, daemonCount = daemons, drainPeriod).toMillis() / 1_000.0

    private companion object {
        /** From the specifications of the small sites. */
        const val SMALL_STORE_CALLS_PER_SECOND = 2_000.0
    }
}
