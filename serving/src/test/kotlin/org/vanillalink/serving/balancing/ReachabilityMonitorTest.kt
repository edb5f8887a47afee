package org.vanillalink.serving.balancing

import org.vanillalink.serving.IKEJA
import kotlin.test.Test
import kotlin.test.assertEquals

internal class ReachabilityMonitorTest {
    private val testSubject = ReachabilityMonitor()

    @Test
    fun `one failure domain's share lost - all stands still there and no daemon is heard`() {
        testSubject.recordDaemonMessage(IKEJA, now = 0)
        assertEquals(setOf(IKEJA), testSubject.findUnreachable(mapOf(IKEJA to DomainProgress(3, 3)), now = 500))
    }

    @Test
    fun `a group that stands still while daemons there are heard is no cut`() {
        testSubject.recordDaemonMessage(IKEJA, now = 400)
        assertEquals(emptySet(), testSubject.findUnreachable(mapOf(IKEJA to DomainProgress(3, 3)), now = 500))
    }

    @Test
    fun `one target that moves shows that the path is whole`() {
        testSubject.recordDaemonMessage(IKEJA, now = 0)
        assertEquals(emptySet(), testSubject.findUnreachable(mapOf(IKEJA to DomainProgress(3, 2)), now = 500))
    }

    @Test
    fun `where daemons have been gone for long a single stalled group is no cut`() {
        testSubject.recordDaemonMessage(IKEJA, now = 0)
        assertEquals(emptySet(), testSubject.findUnreachable(mapOf(IKEJA to DomainProgress(1, 1)), now = 9_000))
    }

    @Test
    fun `the failure domain is used again once a daemon there is heard`() {
        testSubject.recordDaemonMessage(IKEJA, now = 0)
        testSubject.findUnreachable(mapOf(IKEJA to DomainProgress(3, 3)), now = 500)
        assertEquals(setOf(IKEJA), testSubject.findUnreachable(emptyMap(), now = 2_000))
        testSubject.recordDaemonMessage(IKEJA, now = 2_100)
        assertEquals(emptySet(), testSubject.findUnreachable(emptyMap(), now = 2_150))
    }
}
