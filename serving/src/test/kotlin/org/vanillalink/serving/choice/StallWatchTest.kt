package org.vanillalink.serving.choice

import org.vanillalink.model.HostId
import kotlin.test.Test
import kotlin.test.assertEquals

internal class StallWatchTest {
    private val testSubject = StallWatch(stallMilliseconds = 300, beginningMilliseconds = 700)

    @Test
    fun `a target stands still when none of its answers moves`() {
        testSubject.begun(A, now = 0)
        testSubject.begun(A, now = 100)
        testSubject.moved(A, now = 150, isFirst = true)
        assertEquals(emptyMap(), testSubject.stalled(now = 449))
        assertEquals(mapOf(A to 300L), testSubject.stalled(now = 450))
    }

    @Test
    fun `an idle target does not stand still`() {
        testSubject.begun(A, now = 0)
        testSubject.ended(A, hadBegun = false)
        assertEquals(emptyMap(), testSubject.stalled(now = 10_000))
        testSubject.begun(A, now = 10_000)
        assertEquals(emptyMap(), testSubject.stalled(now = 10_100))
    }

    // Guards against sound groups that many daemons suspect while each waits there for one first event (issue 18).
    @Test
    fun `a target that reads the prompt of its only request does not stand still`() {
        testSubject.begun(A, now = 0)
        assertEquals(emptyMap(), testSubject.stalled(now = 699))
        assertEquals(mapOf(A to 700L), testSubject.stalled(now = 700))
    }

    @Test
    fun `an answer that has ended leaves the others to their beginning`() {
        testSubject.begun(A, now = 0)
        testSubject.begun(A, now = 0)
        testSubject.moved(A, now = 200, isFirst = true)
        assertEquals(mapOf(A to 300L), testSubject.stalled(now = 500))
        testSubject.ended(A, hadBegun = true)
        assertEquals(emptyMap(), testSubject.stalled(now = 500))
        assertEquals(mapOf(A to 700L), testSubject.stalled(now = 900))
    }

    private companion object {
        val A = HostId("a")
    }
}
