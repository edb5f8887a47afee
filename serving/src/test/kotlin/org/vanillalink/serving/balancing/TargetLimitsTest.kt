package org.vanillalink.serving.balancing

import org.vanillalink.model.HostId
import org.vanillalink.serving.targets.TargetInstance
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue

internal class TargetLimitsTest {
    private val target = TargetInstance(HostId("i-1"), bornAt = 1)
    private val testSubject = TargetLimits()

    // Guards against a limit that is lifted by an answer from before it was named.
    @Test
    fun `an answer without a limit ends it only if its request was sent after the limit was named`() {
        testSubject.recordNamed(target, 4.5, now = 1_000)

        testSubject.recordUnnamed(target, requestSentAt = 900, now = 1_100)
        assertEquals(4.5, testSubject.find(target))

        testSubject.recordUnnamed(target, requestSentAt = 1_050, now = 1_200)
        assertNull(testSubject.find(target))
    }

    @Test
    fun `a limit applies to the instance that named it and not to the next one`() {
        testSubject.recordNamed(target, 4.5, now = 1_000)

        assertNull(testSubject.find(target.copy(bornAt = 2)))
        assertEquals(4.5, testSubject.find(target.copy(bornAt = null)))
    }

    @Test
    fun `an earlier instance does not replace the limit of a later one`() {
        testSubject.recordNamed(target.copy(bornAt = 2), 4.5, now = 1_000)
        testSubject.recordNamed(target, 1.0, now = 1_100)

        assertEquals(4.5, testSubject.find(target.copy(bornAt = 2)))
    }

    @Test
    fun `the latest observation applies, whichever daemon made it`() {
        testSubject.recordReport(listOf(ReportedLimit(target, 4.5, age = 300)), now = 1_000)
        testSubject.recordReport(listOf(ReportedLimit(target, 9.0, age = 500)), now = 1_000)
        assertEquals(4.5, testSubject.find(target))

        testSubject.recordReport(listOf(ReportedLimit(target, null, age = 100)), now = 1_000)
        assertNull(testSubject.find(target))
    }

    // Guards against a report that peers pass on to each other and that never becomes old.
    @Test
    fun `only own observations are reported, with their age`() {
        val other = target.copy(id = HostId("i-2"))
        testSubject.recordNamed(target, 4.5, now = 1_000)
        testSubject.recordReport(listOf(ReportedLimit(other, 4.5, age = 0)), now = 1_000)

        assertEquals(listOf(ReportedLimit(target, 4.5, age = 700)), testSubject.report(now = 1_700))
    }

    @Test
    fun `the end of a limit is reported and then removed`() {
        testSubject.recordNamed(target, 4.5, now = 1_000)
        testSubject.recordUnnamed(target, requestSentAt = 1_001, now = 1_100)
        assertEquals(listOf(ReportedLimit(target, null, age = 0)), testSubject.report(now = 1_100))

        testSubject.removeExpired(now = 60_000)
        assertEquals(emptyList(), testSubject.report(now = 60_000))
    }

    // Guards against a target that is lost for good because no request reaches it that would show the limit's end.
    @Test
    fun `a limit that no answer confirms is removed`() {
        testSubject.recordNamed(target, 0.0, now = 1_000)
        testSubject.removeExpired(now = 20_000)
        assertEquals(0.0, testSubject.find(target))

        testSubject.removeExpired(now = 60_000)
        assertNull(testSubject.find(target))
    }

    @Test
    fun `an unreadable limit is logged once and changes nothing`() {
        testSubject.recordNamed(target, 4.5, now = 1_000)
        testSubject.takeEvents()
        repeat(100) { testSubject.recordUnreadable(target, "NaN", now = 1_000L + it) }

        assertEquals(4.5, testSubject.find(target))
        assertIs<LimitEvent.Unreadable>(testSubject.takeEvents().single())
    }

    @Test
    fun `a limit that fluctuates is logged and reported anew only when it changes by more than a tenth`() {
        repeat(50) { testSubject.recordNamed(target, 4.5 + it % 2 * 0.2, now = 1_000L + it) }
        val version = testSubject.version
        assertEquals(1, testSubject.takeEvents().size)

        testSubject.recordNamed(target, 9.0, now = 2_000)
        assertEquals(1, testSubject.takeEvents().size)
        assertTrue(testSubject.version > version)
    }
}
