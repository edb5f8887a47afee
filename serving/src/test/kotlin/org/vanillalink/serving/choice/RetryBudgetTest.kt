package org.vanillalink.serving.choice

import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

internal class RetryBudgetTest {
    private val testSubject = RetryBudget(RetryBudgetSettings(ratio = 0.2, windowMilliseconds = 10_000, slack = 10.0))

    @Test
    fun `the sum over all daemons stays within the bound`() {
        val daemons = 4
        var total = 0
        repeat(daemons) {
            val budget = RetryBudget(RetryBudgetSettings(0.2, 10_000, 10.0))
            repeat(100) { budget.requested(now = 0) }
            while (budget.take(now = 1, daemons)) total += 1
        }
        assertTrue(total <= 0.2 * 100 * daemons + 10)
        assertTrue(total > 0.5 * (0.2 * 100 * daemons + 10))
    }

    @Test
    fun `old retries are forgotten`() {
        while (testSubject.take(now = 0, daemons = 1)) Unit
        assertFalse(testSubject.take(now = 10_000, daemons = 1))
        assertTrue(testSubject.take(now = 10_001, daemons = 1))
    }
}
