package org.vanillalink.gateway.control

import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Pattern: many daemons follow a registry in which something changes all the time. */
internal class RegistryPollIntervalTest {
    private val testSubject = RegistryPollInterval
    private val drainPeriod = Duration.ofMillis(2_000)

    @Test
    fun `a small site follows changes promptly`() {
        assertEquals(Duration.ofMillis(200), testSubject.compute(hasControl = false, daemonCount = 5, drainPeriod))
    }

    @Test
    fun `a daemon that has control follows changes promptly in any fleet`() {
        assertEquals(Duration.ofMillis(200), testSubject.compute(hasControl = true, daemonCount = 32, drainPeriod))
    }

    @Test
    fun `a fleet of 32 uses a fiftieth of what a small site's store allows`() {
        val callsPerSecond = 32 / intervalSeconds(32)
        assertTrue(callsPerSecond <= SMALL_STORE_CALLS_PER_SECOND / 50, "$callsPerSecond calls a second")
    }

    @Test
    fun `a leaving target is known in time in any fleet`() {
        assertTrue(testSubject.compute(hasControl = false, daemonCount = 450, drainPeriod) <= Duration.ofMillis(1_000))
    }

    @Test
    fun `a large fleet with more time for leaving targets asks less often`() {
        val interval =
            testSubject.compute(hasControl = false, daemonCount = 450, drainPeriod = Duration.ofMillis(4_000))
        assertEquals(Duration.ofMillis(2_000), interval)
    }

    private fun intervalSeconds(daemons: Int): Double =
        testSubject.compute(hasControl = false, daemonCount = daemons, drainPeriod).toMillis() / 1_000.0

    private companion object {
        /** Calls a second, by the sheets of the small sites. */
        const val SMALL_STORE_CALLS_PER_SECOND = 2_000.0
    }
}
