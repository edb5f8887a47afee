package org.vanillalink.gateway.control

import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Pattern: many daemons follow a registry in which something changes all the time. */
internal class RegistryPaceTest {
    private val testSubject = RegistryPace
    private val drain = Duration.ofMillis(2_000)

    @Test
    fun `a small site follows changes promptly`() {
        assertEquals(Duration.ofMillis(200), testSubject.pause(hasControl = false, daemons = 5, drain))
    }

    @Test
    fun `a daemon that has control follows changes promptly in any fleet`() {
        assertEquals(Duration.ofMillis(200), testSubject.pause(hasControl = true, daemons = 32, drain))
    }

    @Test
    fun `a fleet of 32 uses a fiftieth of what a small site's store allows`() {
        val perSecond = 32 / seconds(32)
        assertTrue(perSecond <= SMALL_STORE_READS / 50, "$perSecond calls a second")
    }

    @Test
    fun `a leaving target is known in time in any fleet`() {
        assertTrue(testSubject.pause(hasControl = false, daemons = 450, drain) <= Duration.ofMillis(1_000))
    }

    @Test
    fun `a large fleet with more time for leaving targets asks less often`() {
        val pause = testSubject.pause(hasControl = false, daemons = 450, drain = Duration.ofMillis(4_000))
        assertEquals(Duration.ofMillis(2_000), pause)
    }

    private fun seconds(daemons: Int): Double =
        testSubject.pause(hasControl = false, daemons = daemons, drain).toMillis() / 1_000.0

    private companion object {
        /** Calls a second, by the sheets of the small sites. */
        const val SMALL_STORE_READS = 2_000.0
    }
}
