package org.vanillalink.gateway.control

import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** The store was noticed to be away at 18,000 and its entries were read again at 26,180. */
internal class RegistryCurrencyTest {
    private val rightAfter = RegistryCurrency(knownAt = 26_180, lostAt = 18_050, backAt = 26_180)

    @Test
    fun `control held through an outage goes on at once`() {
        assertTrue(rightAfter.allows(takenAt = 10_000))
    }

    @Test
    fun `control taken as the store returns waits until targets have written how they stand`() {
        assertFalse(rightAfter.allows(takenAt = 26_170))
        assertFalse(rightAfter.copy(knownAt = 28_300).allows(takenAt = 26_170))
        assertTrue(rightAfter.copy(knownAt = 28_400).allows(takenAt = 26_170))
    }

    @Test
    fun `control taken just before an outage waits too`() {
        assertFalse(rightAfter.allows(takenAt = 17_000))
    }

    @Test
    fun `entries from before control was taken don't count`() {
        assertFalse(RegistryCurrency(knownAt = 4_000).allows(takenAt = 4_000))
    }

    @Test
    fun `without an outage entries read after control was taken are enough`() {
        assertTrue(RegistryCurrency(knownAt = 4_001).allows(takenAt = 4_000))
    }
}
