package org.vanillalink.serving.balancing

import org.vanillalink.model.HostId
import org.vanillalink.serving.targets.TargetInstance
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

internal class TargetAvailabilityTest {
    private val testSubject = TargetAvailability()
    private val instance = TargetInstance(HostId("i-1"), bornAt = 5)
    private val laterInstance = instance.copy(bornAt = 9)

    @Test
    fun `a leaving target stays leaving until another instance starts`() {
        assertTrue(testSubject.recordLeaving(instance, now = 100))
        assertFalse(testSubject.recordLeaving(instance, now = 200))

        assertTrue(testSubject.isLeaving(instance))
        assertFalse(testSubject.isLeaving(laterInstance))
        assertFalse(testSubject.isLeaving(TargetInstance(HostId("i-2"), bornAt = 5)))
    }

    @Test
    fun `an entry without a start time is not another instance`() {
        testSubject.recordLeaving(instance, now = 100)

        assertTrue(testSubject.isLeaving(instance.copy(bornAt = null)))
    }

    @Test
    fun `an announcement of a later instance replaces that of the previous one`() {
        testSubject.recordLeaving(instance, now = 100)
        testSubject.recordRetryAfter(laterInstance, milliseconds = 500, now = 200)

        assertFalse(testSubject.isLeaving(laterInstance))
        assertEquals(400, testSubject.remainingBackOff(laterInstance, now = 300))
    }

    @Test
    fun `a late announcement of an earlier instance does not affect the later one`() {
        testSubject.recordRetryAfter(laterInstance, milliseconds = 500, now = 100)
        assertFalse(testSubject.recordLeaving(instance, now = 200))

        assertFalse(testSubject.isLeaving(laterInstance))
        assertEquals(300, testSubject.remainingBackOff(laterInstance, now = 300))
    }

    @Test
    fun `a target that asked for a back-off is available again afterwards`() {
        testSubject.recordRetryAfter(instance, milliseconds = 1_500, now = 1_000)

        assertEquals(1_500, testSubject.remainingBackOff(instance, now = 1_000))
        assertEquals(1, testSubject.remainingBackOff(instance, now = 2_499))
        assertEquals(0, testSubject.remainingBackOff(instance, now = 2_500))
        assertEquals(0, testSubject.remainingBackOff(laterInstance, now = 1_000))
    }

    @Test
    fun `a second back-off may extend the first and never shortens it`() {
        testSubject.recordRetryAfter(instance, milliseconds = 1_000, now = 0)
        testSubject.recordRetryAfter(instance, milliseconds = 100, now = 500)
        assertEquals(400, testSubject.remainingBackOff(instance, now = 600))

        testSubject.recordRetryAfter(instance, milliseconds = 1_000, now = 600)
        assertEquals(1_000, testSubject.remainingBackOff(instance, now = 600))
    }

    @Test
    fun `a negative or excessive back-off does not disable the target permanently`() {
        testSubject.recordRetryAfter(instance, milliseconds = -5, now = 0)
        assertEquals(0, testSubject.remainingBackOff(instance, now = 0))

        testSubject.recordRetryAfter(instance, milliseconds = Long.MAX_VALUE, now = 0)
        assertEquals(0, testSubject.remainingBackOff(instance, now = 300_000))
    }

    @Test
    fun `a leaving target is kept while it may still serve and is removed long after`() {
        testSubject.recordLeaving(instance, now = 0)

        testSubject.removeExpired(now = 600_000)
        assertTrue(testSubject.isLeaving(instance))
        testSubject.removeExpired(now = 1_800_001)
        assertFalse(testSubject.isLeaving(instance))
    }
}
