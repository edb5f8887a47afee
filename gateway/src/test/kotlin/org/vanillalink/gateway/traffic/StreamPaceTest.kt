package org.vanillalink.gateway.traffic

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

internal class StreamPaceTest {
    private val testSubject = StreamPace(arrivedAt = 1_000)

    @Test
    fun `before the first event nothing is known`() {
        assertNull(testSubject.firstEvent)
        assertNull(testSubject.longestPause)
    }

    @Test
    fun `the first event is measured from the request's arrival`() {
        testSubject.passedOn(1_180)
        testSubject.passedOn(1_240)
        assertEquals(180, testSubject.firstEvent)
    }

    @Test
    fun `the longest pause lies between two events and not before the first`() {
        listOf(1_500L, 1_560L, 2_400L, 2_450L).forEach(testSubject::passedOn)
        assertEquals(840, testSubject.longestPause)
    }
}
