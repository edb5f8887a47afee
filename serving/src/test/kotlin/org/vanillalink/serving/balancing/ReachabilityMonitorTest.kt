package org.vanillalink.serving.balancing

import org.vanillalink.serving.IKEJA
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

internal class ReachabilityMonitorTest {
    private val testSubject = ReachabilityMonitor(TrialSchedule(Random(1)))

    @Test
    fun `a failure domain where all targets are stalled and no daemon sends messages is unreachable`() {
        testSubject.recordDaemonMessage(IKEJA, now = 0)
        assertEquals(setOf(IKEJA), testSubject.findUnreachable(mapOf(IKEJA to DomainProgress(3, 3)), now = 500))
    }

    @Test
    fun `stalled targets do not make a failure domain unreachable while its daemons send messages`() {
        testSubject.recordDaemonMessage(IKEJA, now = 400)
        assertEquals(emptySet(), testSubject.findUnreachable(mapOf(IKEJA to DomainProgress(3, 3)), now = 500))
    }

    @Test
    fun `one target that makes progress shows that the failure domain is reachable`() {
        testSubject.recordDaemonMessage(IKEJA, now = 0)
        assertEquals(emptySet(), testSubject.findUnreachable(mapOf(IKEJA to DomainProgress(3, 2)), now = 500))
    }

    @Test
    fun `a single stalled target is not enough where daemons have been gone for long`() {
        testSubject.recordDaemonMessage(IKEJA, now = 0)
        assertEquals(emptySet(), testSubject.findUnreachable(mapOf(IKEJA to DomainProgress(1, 1)), now = 9_000))
    }

    @Test
    fun `a failure domain is reachable again after a message from a daemon there`() {
        testSubject.recordDaemonMessage(IKEJA, now = 0)
        testSubject.findUnreachable(mapOf(IKEJA to DomainProgress(3, 3)), now = 500)
        assertEquals(setOf(IKEJA), testSubject.findUnreachable(emptyMap(), now = 2_000))
        testSubject.recordDaemonMessage(IKEJA, now = 2_100)
        assertEquals(emptySet(), testSubject.findUnreachable(emptyMap(), now = 2_150))
    }

    // Guards against seconds without requests to a failure domain whose sound targets were silent for a moment.
    @Test
    fun `a failure domain is reachable again when one of its targets goes on`() {
        testSubject.recordDaemonMessage(IKEJA, now = 0)
        testSubject.findUnreachable(mapOf(IKEJA to DomainProgress(3, 3)), now = 500)
        testSubject.recordTargetProgress(IKEJA, now = 1_100)
        assertEquals(emptySet(), testSubject.findUnreachable(mapOf(IKEJA to DomainProgress(3, 2)), now = 1_150))
    }

    // Guards against the requests of all daemons to a failure domain that has been cut off for seconds.
    @Test
    fun `a failure domain that stays silent is unreachable for as long, and gets about a trial per interval of all`() {
        val daemons = List(DAEMONS) { ReachabilityMonitor(TrialSchedule(Random(it))) }
        daemons.forEach { it.recordDaemonMessage(IKEJA, now = 0) }
        var trials = 0
        for (now in 500L..6_500L step 50) {
            // The requests there get second attempts elsewhere, and none are left.
            val progress = if (now < 700) mapOf(IKEJA to DomainProgress(3, 3)) else emptyMap()
            daemons.forEach {
                assertEquals(setOf(IKEJA), it.findUnreachable(progress, now, DAEMONS))
                if (it.isTrialDue(IKEJA, isHedgeable = true, now)) {
                    trials += 1
                    it.recordSent(IKEJA, now, DAEMONS)
                }
            }
        }

        assertTrue(trials in 3..20, "$trials")
    }

    @Test
    fun `a new request alone does not show that a failure domain is reachable again`() {
        testSubject.recordDaemonMessage(IKEJA, now = 0)
        testSubject.recordTargetProgress(IKEJA, now = 0)
        testSubject.findUnreachable(mapOf(IKEJA to DomainProgress(3, 3)), now = 500)
        assertEquals(setOf(IKEJA), testSubject.findUnreachable(mapOf(IKEJA to DomainProgress(4, 3)), now = 1_150))
    }

    private companion object {
        const val DAEMONS = 31
    }
}
