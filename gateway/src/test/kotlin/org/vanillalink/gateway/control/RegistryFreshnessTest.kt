package org.vanillalink.gateway.control

import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** The store outage was noticed at 18,050 and the entries were read again at 26,180. */
internal class RegistryFreshnessTest {
    private val rightAfterOutage =
        RegistryFreshness(currentAsOf = 26_180, storeLostAt = 18_050, storeRegainedAt = 26_180)

    @Test
    fun `control held throughout an outage continues at once`() {
        assertTrue(rightAfterOutage.allowsDecisions(controlTakenAt = 10_000))
    }

    @Test
    fun `control taken as the store recovers waits until targets have updated their entries`() {
        assertFalse(rightAfterOutage.allowsDecisions(controlTakenAt = 26_170))
        assertFalse(rightAfterOutage.copy(currentAsOf = 28_300).allowsDecisions(controlTakenAt = 26_170))
        assertTrue(rightAfterOutage.copy(currentAsOf = 28_400).allowsDecisions(controlTakenAt = 26_170))
    }

    @Test
    fun `control taken just before an outage also waits`() {
        assertFalse(rightAfterOutage.allowsDecisions(controlTakenAt = 17_000))
    }

    @Test
    fun `entries read before control was taken do not allow decisions`() {
        assertFalse(RegistryFreshness(currentAsOf = 4_000).allowsDecisions(controlTakenAt = 4_000))
    }

    @Test
    fun `without an outage entries read after control was taken allow decisions`() {
        assertTrue(RegistryFreshness(currentAsOf = 4_001).allowsDecisions(controlTakenAt = 4_000))
    }
}
