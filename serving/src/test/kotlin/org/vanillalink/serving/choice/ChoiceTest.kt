package org.vanillalink.serving.choice

import org.vanillalink.model.DaemonId
import org.vanillalink.model.HostId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

internal class TargetChoiceTest {
    private val testSubject = TargetChoice(Random(1))

    @Test
    fun `the target with the least work is chosen`() {
        val candidates = listOf(Candidate(A, 5, 20, true), Candidate(B, 2, 20, true))
        assertEquals(B, testSubject.choose(candidates)?.target)
    }

    @Test
    fun `a slow target counts as having more work`() {
        val candidates = listOf(Candidate(A, 5, 20, true), Candidate(B, 2, 20, true, pace = 4.0))
        assertEquals(A, testSubject.choose(candidates)?.target)
    }

    @Test
    fun `full targets and cold ones without allowance are passed over`() {
        assertNull(testSubject.choose(listOf(Candidate(A, 20, 20, true), Candidate(B, 0, 20, false))))
    }

    private companion object {
        val A = HostId("a")
        val B = HostId("b")
    }
}

internal class InFlightCountsTest {
    private val testSubject = InFlightCounts(believedMilliseconds = 1_000)

    @Test
    fun `own requests and those of peers add up`() {
        testSubject.begun(A)
        testSubject.heard(DaemonId("peer"), mapOf(A to 3), now = 0)
        assertEquals(4, testSubject.at(A, now = 500))
    }

    @Test
    fun `what a silent peer said is not believed for long`() {
        testSubject.heard(DaemonId("peer"), mapOf(A to 3), now = 0)
        assertEquals(0, testSubject.at(A, now = 1_001))
    }

    private companion object {
        val A = HostId("a")
    }
}

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

internal class ColdAllowanceTest {
    @Test
    fun `daemons that can't talk stay within the bound together`() {
        val daemons = 5
        val sent =
            (1..daemons).sumOf { _ ->
                val allowance = ColdAllowance()
                (0..40).count { tick ->
                    allowance
                        .admits(
                            A,
                            tick * 20L,
                            perSecond = 36.0,
                            daemons,
                        ).also { if (it) allowance.sent(A, tick * 20L) }
                }
            }
        assertTrue(sent <= 36 * 1.5 + 5)
    }

    private companion object {
        val A = HostId("a")
    }
}

internal class RepeatedFailuresTest {
    private val testSubject = RepeatedFailures(strikesBeforeRefusal = 3)

    @Test
    fun `a request is refused once it has struck three targets`() {
        listOf("a", "b").forEach { testSubject.struck(Strike(REQUEST, HostId(it)), now = 0) }
        assertFalse(testSubject.refuses(REQUEST, now = 1))
        testSubject.struck(Strike(REQUEST, HostId("c")), now = 1)
        assertTrue(testSubject.refuses(REQUEST, now = 2))
    }

    @Test
    fun `the same strike told twice counts once`() {
        repeat(3) { testSubject.struck(Strike(REQUEST, HostId("a")), now = it.toLong()) }
        assertFalse(testSubject.refuses(REQUEST, now = 3))
    }

    private companion object {
        val REQUEST = RequestFingerprint("body")
    }
}

internal class StallWatchTest {
    private val testSubject = StallWatch(stallMilliseconds = 300)

    @Test
    fun `a target stands still when none of its answers moves`() {
        testSubject.begun(A, now = 0)
        testSubject.begun(A, now = 100)
        testSubject.moved(A, now = 150)
        assertEquals(emptyMap(), testSubject.stalled(now = 449))
        assertEquals(mapOf(A to 300L), testSubject.stalled(now = 450))
    }

    @Test
    fun `an idle target does not stand still`() {
        testSubject.begun(A, now = 0)
        testSubject.ended(A)
        assertEquals(emptyMap(), testSubject.stalled(now = 10_000))
        testSubject.begun(A, now = 10_000)
        assertEquals(emptyMap(), testSubject.stalled(now = 10_100))
    }

    private companion object {
        val A = HostId("a")
    }
}
