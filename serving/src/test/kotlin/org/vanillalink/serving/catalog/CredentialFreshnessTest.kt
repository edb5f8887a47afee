package org.vanillalink.serving.catalog

import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

internal class CredentialFreshnessTest {
    private val testSubject = CredentialFreshness().confirmed(ClockReading(10_000, 50_000))

    @Test
    fun `keys are not accepted before the first confirmation`() {
        assertFalse(CredentialFreshness().isFresh(ClockReading(0, 0), MAX_AGE_MILLISECONDS))
    }

    @Test
    fun `keys are accepted until the confirmation reaches the maximum age`() {
        assertTrue(testSubject.isFresh(ClockReading(13_999, 53_999), MAX_AGE_MILLISECONDS))
        assertFalse(testSubject.isFresh(ClockReading(14_000, 54_000), MAX_AGE_MILLISECONDS))
    }

    @Test
    fun `a suspension that the steady clock doesn't count voids the confirmation`() {
        assertNull(testSubject.age(ClockReading(10_100, 56_100)))
    }

    @Test
    fun `a wall clock that jumps back voids the confirmation`() {
        assertNull(testSubject.age(ClockReading(10_100, 47_000)))
    }

    @Test
    fun `a late answer to an older read does not replace a newer confirmation`() {
        val afterLateAnswer = testSubject.confirmed(ClockReading(8_000, 48_000))
        assertTrue(afterLateAnswer.isFresh(ClockReading(13_900, 53_900), MAX_AGE_MILLISECONDS))
    }

    private companion object {
        const val MAX_AGE_MILLISECONDS = 4_000L
    }
}
