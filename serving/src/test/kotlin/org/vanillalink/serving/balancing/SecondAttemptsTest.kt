package org.vanillalink.serving.balancing

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

internal class SecondAttemptsTest {
    private val prediction = FirstEventPrediction(byEngine = 100, usual = 150)

    // Guards against second attempts that begin when the goal is long missed.
    @Test
    fun `a request at a standing group gets a second attempt at once while it can make its goal`() {
        assertEquals("group-standing", reason(waited = 20, timeToGoal = 230, GroupSign.STANDS))
        assertNull(reason(waited = 200, timeToGoal = 50, GroupSign.STANDS))
    }

    // Guards against more load on a fleet that is merely loaded.
    @Test
    fun `a late request at a group whose other streams go on gets none`() {
        assertNull(reason(waited = 900, timeToGoal = 1_000, GroupSign.MOVES))
    }

    // Guards against second attempts at the crest of a burst: none of 125 in a trial was needed.
    @Test
    fun `a late request at a group of which nothing else is known gets none`() {
        assertNull(reason(waited = 1_000, timeToGoal = 700, GroupSign.NONE))
    }

    @Test
    fun `a trial gets one at the last moment at which another target can make the goal`() {
        assertNull(reason(waited = 50, timeToGoal = 210, GroupSign.ON_TRIAL))
        assertEquals("trial-silent", reason(waited = 100, timeToGoal = 160, GroupSign.ON_TRIAL))
    }

    // Guards against second attempts that leave nothing of the budget for the streams of a lost group.
    @Test
    fun `second attempts by prediction leave a part of the retry budget`() {
        val budget = RetryBudget(RetryBudgetSettings(retryRatio = 0.2, windowMilliseconds = 10_000, fixedRetries = 0.0))
        repeat(100) { budget.recordRequest(now = 0) }
        repeat(8) {
            assertTrue(budget.isAvailable(0, 1, SecondAttempts.BUDGET_SHARE))
            budget.tryAcquire(0, 1)
        }

        assertFalse(budget.isAvailable(0, 1, SecondAttempts.BUDGET_SHARE))
        assertTrue(budget.isAvailable(0, 1))
    }

    private fun reason(
        waited: Long,
        timeToGoal: Long,
        sign: GroupSign,
    ) = SecondAttempts.findReason(AwaitedFirstEvent(waited, timeToGoal, prediction, sign))
}
