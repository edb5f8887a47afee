package org.vanillalink.gateway.control

import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

internal class LostConfigurationTest {
    private val announced = LostConfiguration().announced(version = 10, now = 1_000)

    // Guards against keys and routes judged by an older configuration at a daemon that starts when the store has lost
    // the one in force.
    @Test
    fun `a read that began after a peer announced a later version and doesn't show it tells that the store lost it`() {
        val testSubject = announced.confirmed(ownVersion = 8, requestedAt = 1_050, now = 1_060)

        assertTrue(testSubject.isLost(now = 1_060))
        assertFalse(testSubject.confirmed(ownVersion = 10, requestedAt = 2_000, now = 2_010).isLost(now = 2_010))
    }

    // Guards against refusals whenever one daemon reads a new configuration some milliseconds before another.
    @Test
    fun `a read that began before the announcement tells nothing`() {
        assertFalse(announced.confirmed(ownVersion = 8, requestedAt = 990, now = 1_060).isLost(now = 1_060))
    }

    @Test
    fun `a version that is not written again counts as gone in the end`() {
        val testSubject = announced.confirmed(ownVersion = 8, requestedAt = 1_050, now = 1_060)

        assertTrue(testSubject.confirmed(ownVersion = 8, requestedAt = 5_000, now = 5_010).isLost(now = 5_010))
        assertFalse(testSubject.isLost(now = 12_000))
    }
}
