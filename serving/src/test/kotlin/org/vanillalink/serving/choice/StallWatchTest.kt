package org.vanillalink.serving.choice

import org.vanillalink.model.HostId
import kotlin.test.Test
import kotlin.test.assertEquals

internal class StallWatchTest {
    private val testSubject = StallWatch(stallMilliseconds = 300)

    @Test
    fun `a target stands still when none of its answers moves`() {
        testSubject.begun(A, now = 0)
        testSubject.begun(A, now = 100)
        testSubject.moved(A, now = 150)
        assertEquals(emptyMap(), testSubject.stalled(now = 449))
        assertEquals(mapOf(A to 300L), testSubject.stalled(now = 450))
    }

    @Test
    fun `an idle target does not stand still`() {
        testSubject.begun(A, now = 0)
        testSubject.ended(A)
        assertEquals(emptyMap(), testSubject.stalled(now = 10_000))
        testSubject.begun(A, now = 10_000)
        assertEquals(emptyMap(), testSubject.stalled(now = 10_100))
    }

    private companion object {
        val A = HostId("a")
    }
}
