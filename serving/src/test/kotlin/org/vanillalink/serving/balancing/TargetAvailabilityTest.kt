package org.vanillalink.serving.balancing

import org.vanillalink.model.HostId
import org.vanillalink.serving.targets.TargetRun
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

internal class TargetAvailabilityTest {
    private val testSubject = TargetAvailability()
    private val run = TargetRun(HostId("i-1"), bornAt = 5)
    private val laterRun = run.copy(bornAt = 9)

    @Test
    fun `a target that says it leaves is left alone until another run begins`() {
        assertTrue(testSubject.recordLeaving(run, now = 100))
        assertFalse(testSubject.recordLeaving(run, now = 200))

        assertTrue(testSubject.isLeaving(run))
        assertFalse(testSubject.isLeaving(laterRun))
        assertFalse(testSubject.isLeaving(TargetRun(HostId("i-2"), bornAt = 5)))
    }

    @Test
    fun `an entry without the time of birth is no other run`() {
        testSubject.recordLeaving(run, now = 100)

        assertTrue(testSubject.isLeaving(run.copy(bornAt = null)))
    }

    @Test
    fun `a later run's notice replaces that of the run before`() {
        testSubject.recordLeaving(run, now = 100)
        testSubject.recordRetryAfter(laterRun, milliseconds = 500, now = 200)

        assertFalse(testSubject.isLeaving(laterRun))
        assertEquals(400, testSubject.remainingBackOff(laterRun, now = 300))
    }

    @Test
    fun `a late word about an earlier run does not concern the run after it`() {
        testSubject.recordRetryAfter(laterRun, milliseconds = 500, now = 100)
        assertFalse(testSubject.recordLeaving(run, now = 200))

        assertFalse(testSubject.isLeaving(laterRun))
        assertEquals(300, testSubject.remainingBackOff(laterRun, now = 300))
    }

    @Test
    fun `a target that wants nothing for a while is asked again afterwards`() {
        testSubject.recordRetryAfter(run, milliseconds = 1_500, now = 1_000)

        assertEquals(1_500, testSubject.remainingBackOff(run, now = 1_000))
        assertEquals(1, testSubject.remainingBackOff(run, now = 2_499))
        assertEquals(0, testSubject.remainingBackOff(run, now = 2_500))
        assertEquals(0, testSubject.remainingBackOff(laterRun, now = 1_000))
    }

    @Test
    fun `a second time lengthens the first and never shortens it`() {
        testSubject.recordRetryAfter(run, milliseconds = 1_000, now = 0)
        testSubject.recordRetryAfter(run, milliseconds = 100, now = 500)
        assertEquals(400, testSubject.remainingBackOff(run, now = 600))

        testSubject.recordRetryAfter(run, milliseconds = 1_000, now = 600)
        assertEquals(1_000, testSubject.remainingBackOff(run, now = 600))
    }

    @Test
    fun `a time that is negative or beyond reason does not take the target away for good`() {
        testSubject.recordRetryAfter(run, milliseconds = -5, now = 0)
        assertEquals(0, testSubject.remainingBackOff(run, now = 0))

        testSubject.recordRetryAfter(run, milliseconds = Long.MAX_VALUE, now = 0)
        assertEquals(0, testSubject.remainingBackOff(run, now = 300_000))
    }

    @Test
    fun `a leaving target is remembered while it may still serve and forgotten long after`() {
        testSubject.recordLeaving(run, now = 0)

        testSubject.removeExpired(now = 600_000)
        assertTrue(testSubject.isLeaving(run))
        testSubject.removeExpired(now = 1_800_001)
        assertFalse(testSubject.isLeaving(run))
    }
}
