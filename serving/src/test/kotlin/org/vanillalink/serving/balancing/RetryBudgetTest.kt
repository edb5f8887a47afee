package org.vanillalink.serving.balancing

import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

internal class RetryBudgetTest {
    private val testSubject =
        RetryBudget(RetryBudgetSettings(retryRatio = 0.2, windowMilliseconds = 10_000, fixedRetries = 10.0))

    @Test
    fun `the retries of all daemons together stay within the budget`() {
        val daemonCount = 4
        var total = 0
        repeat(daemonCount) {
            val budget = RetryBudget(RetryBudgetSettings(0.2, 10_000, 10.0))
            repeat(100) { budget.recordRequest(now = 0) }
            while (budget.tryAcquire(now = 1, daemonCount)) total += 1
        }
        assertTrue(total <= 0.2 * 100 * daemonCount + 10)
        assertTrue(total > 0.5 * (0.2 * 100 * daemonCount + 10))
    }

    @Test
    fun `retries outside the window no longer count`() {
        while (testSubject.tryAcquire(now = 0, daemonCount = 1)) Unit
        assertFalse(testSubject.tryAcquire(now = 10_000, daemonCount = 1))
        assertTrue(testSubject.tryAcquire(now = 10_001, daemonCount = 1))
    }
}
