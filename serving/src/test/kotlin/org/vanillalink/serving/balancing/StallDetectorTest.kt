package org.vanillalink.serving.balancing

import org.vanillalink.model.HostId
import kotlin.test.Test
import kotlin.test.assertEquals

internal class StallDetectorTest {
    private val testSubject = StallDetector(stallMilliseconds = 300, firstByteMilliseconds = 700)

    @Test
    fun `a target is stalled when none of its answers makes progress`() {
        testSubject.recordStart(TARGET, now = 0)
        testSubject.recordStart(TARGET, now = 100)
        testSubject.recordProgress(TARGET, now = 150, isFirst = true)
        assertEquals(emptyMap(), testSubject.stalledTargets(now = 449))
        assertEquals(mapOf(TARGET to 300L), testSubject.stalledTargets(now = 450))
    }

    @Test
    fun `an idle target is not stalled`() {
        testSubject.recordStart(TARGET, now = 0)
        testSubject.recordEnd(TARGET, hasStartedAnswer = false)
        assertEquals(emptyMap(), testSubject.stalledTargets(now = 10_000))
        testSubject.recordStart(TARGET, now = 10_000)
        assertEquals(emptyMap(), testSubject.stalledTargets(now = 10_100))
    }

    // Guards against healthy groups that many daemons suspect while each of them waits for the first event of one
    // request.
    @Test
    fun `a target that reads the prompt of its only request is not stalled`() {
        testSubject.recordStart(TARGET, now = 0)
        assertEquals(emptyMap(), testSubject.stalledTargets(now = 699))
        assertEquals(mapOf(TARGET to 700L), testSubject.stalledTargets(now = 700))
    }

    @Test
    fun `after the end of a started answer, the other requests have the first-byte timeout`() {
        testSubject.recordStart(TARGET, now = 0)
        testSubject.recordStart(TARGET, now = 0)
        testSubject.recordProgress(TARGET, now = 200, isFirst = true)
        assertEquals(mapOf(TARGET to 300L), testSubject.stalledTargets(now = 500))
        testSubject.recordEnd(TARGET, hasStartedAnswer = true)
        assertEquals(emptyMap(), testSubject.stalledTargets(now = 500))
        assertEquals(mapOf(TARGET to 700L), testSubject.stalledTargets(now = 900))
    }

    private companion object {
        val TARGET = HostId("a")
    }
}
