package org.vanillalink.serving.catalog

import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

internal class CredentialFreshnessTest {
    private val testSubject = CredentialFreshness().proved(ClockReading(10_000, 50_000))

    @Test
    fun `keys are not accepted before the first proof`() {
        assertFalse(CredentialFreshness().isFresh(ClockReading(0, 0), BOUND))
    }

    @Test
    fun `keys are accepted until the bound`() {
        assertTrue(testSubject.isFresh(ClockReading(13_999, 53_999), BOUND))
        assertFalse(testSubject.isFresh(ClockReading(14_000, 54_000), BOUND))
    }

    @Test
    fun `a suspension that the steady clock doesn't count voids the proof`() {
        assertNull(testSubject.age(ClockReading(10_100, 56_100)))
    }

    @Test
    fun `a time of day that jumps back voids the proof`() {
        assertNull(testSubject.age(ClockReading(10_100, 47_000)))
    }

    @Test
    fun `an older read that is answered late proves nothing new`() {
        val late = testSubject.proved(ClockReading(8_000, 48_000))
        assertTrue(late.isFresh(ClockReading(13_900, 53_900), BOUND))
    }

    private companion object {
        const val BOUND = 4_000L
    }
}
