package org.vanillalink.gateway.control

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

internal class StoreEraTest {
    private val testSubject = StoreEra().observe(4, requestedAt = 10, now = 20).era

    @Test
    fun `the first era is no restoration`() {
        val observation = StoreEra().observe(4, requestedAt = 10, now = 20)

        assertFalse(observation.isRestored)
        assertEquals(4, observation.era.current)
    }

    @Test
    fun `a higher era is a restoration, and a response without one belongs to the current era`() {
        val observation = testSubject.observe(6, requestedAt = 30, now = 40)

        assertTrue(observation.isRestored && observation.isUsable)
        assertEquals(6, observation.era.current)
        assertEquals(
            EraObservation(testSubject, isUsable = true, isRestored = false),
            testSubject.observe(null, 30, 40),
        )
    }

    // Guards against a response from before the store came back that arrives after one of the new era.
    @Test
    fun `a lower era is late in response to an earlier request, and a restoration in response to a later one`() {
        val late = testSubject.observe(3, requestedAt = 20, now = 40)
        assertFalse(late.isUsable || late.isRestored)
        assertEquals(4, late.era.current)

        val lower = testSubject.observe(3, requestedAt = 30, now = 40)
        assertTrue(lower.isUsable && lower.isRestored)
        assertEquals(3, lower.era.current)
    }
}
