package org.vanillalink.gateway.traffic

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

internal class StreamTimingTest {
    private val testSubject = StreamTiming(arrivedAt = 1_000)

    @Test
    fun `before the first event there are no measurements`() {
        assertNull(testSubject.firstEventMilliseconds)
        assertNull(testSubject.longestPauseMilliseconds)
    }

    @Test
    fun `the time to the first event is measured from the request's arrival`() {
        testSubject.recordEvent(1_180)
        testSubject.recordEvent(1_240)
        assertEquals(180, testSubject.firstEventMilliseconds)
    }

    @Test
    fun `the longest pause is measured between events and not before the first`() {
        listOf(1_500L, 1_560L, 2_400L, 2_450L).forEach(testSubject::recordEvent)
        assertEquals(840, testSubject.longestPauseMilliseconds)
    }
}
