package org.vanillalink.routing

import org.vanillalink.model.RefusalOutcome
import org.vanillalink.model.RefusalReason
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class RouterRetryTest {
    private val testSubject = RouterFixture(RouterSettings(retryBurst = 2, retryFraction = 0.0))

    init {
        testSubject.target("a", capacity = 50)
        testSubject.target("b", capacity = 50)
    }

    @Test
    fun `a retry goes to another target`() {
        val first = testSubject.arrive("r").startedHosts().single()

        val second = testSubject.fail("r").startedHosts().single()

        assertEquals(setOf("a", "b"), setOf(first, second))
    }

    @Test
    fun `a target that did not run an attempt gets no further one before its next report`() {
        val fixture = RouterFixture()
        val deadLoad = ReportedLoad(0, 0, 1.0, fixture.now)
        fixture.target("dead", capacity = 50, load = deadLoad)
        fixture.arrive("r1")
        fixture.target("other", capacity = 1)

        val retried = fixture.fail("r1", mayHaveRun = false).startedHosts()
        val next = fixture.arrive("r2").startedHosts()
        val reported =
            fixture.target(
                "dead",
                capacity = 50,
                load = deadLoad.copy(reportedAt = fixture.now.plusMillis(1)),
            )

        assertEquals(listOf("other"), retried)
        assertEquals(emptyList(), next)
        assertEquals(listOf("dead"), reported.startedHosts())
    }

    @Test
    fun `without retry budget a refusal reports whether the request may have run`() {
        repeat(4) { testSubject.arrive("r$it") }
        val retried = testSubject.fail("r0").starts() + testSubject.fail("r1").starts()

        val unknown =
            testSubject
                .fail("r2", mayHaveRun = true)
                .refusals()
                .single()
                .refusal
        val notRun =
            testSubject
                .fail("r3", mayHaveRun = false)
                .refusals()
                .single()
                .refusal

        assertEquals(2, retried.size)
        assertEquals(RefusalOutcome.UNKNOWN, unknown.outcome)
        assertEquals(RefusalOutcome.NOT_RUN, notRun.outcome)
        assertEquals(RefusalReason.TARGET_FAILED, notRun.reason)
    }

    @Test
    fun `first attempts earn retries by the configured fraction`() {
        testSubject.feed(RouterEvent.SettingsChanged(RouterSettings(retryBurst = 2, retryFraction = 0.5)))
        repeat(20) { testSubject.arrive("r$it") }

        val retries = (0 until 20).sumOf { testSubject.fail("r$it").starts().size }

        assertEquals(2, retries)
    }

    @Test
    fun `after the first token only a resumable attempt is retried`() {
        testSubject.arrive("r1")
        testSubject.arrive("r2")

        val notResumable = testSubject.fail("r1", tokensDelivered = true)
        val resumable = testSubject.fail("r2", tokensDelivered = true, resumable = true)

        assertEquals(
            RefusalOutcome.UNKNOWN,
            notResumable
                .refusals()
                .single()
                .refusal.outcome,
        )
        assertEquals(1, resumable.starts().size)
    }

    @Test
    fun `a non-repeatable request is retried only if it certainly didn't run`() {
        testSubject.arrive("r1", repeatable = false)
        testSubject.arrive("r2", repeatable = false)

        val mayHaveRun =
            testSubject
                .fail("r1", mayHaveRun = true)
                .refusals()
                .single()
                .refusal
        val didNotRun = testSubject.fail("r2", mayHaveRun = false)

        assertEquals(RefusalOutcome.UNKNOWN, mayHaveRun.outcome)
        assertNull(mayHaveRun.retryAfter)
        assertEquals(1, didNotRun.starts().size)
    }

    @Test
    fun `the outcome stays unknown if an earlier attempt may have run`() {
        testSubject.arrive("r")
        testSubject.fail("r", attempt = 1, mayHaveRun = true)
        testSubject.fail("r", attempt = 2, mayHaveRun = false)

        val refusal =
            testSubject
                .fail("r", attempt = 3, mayHaveRun = false)
                .refusals()
                .single()
                .refusal

        assertEquals(RefusalOutcome.UNKNOWN, refusal.outcome)
    }
}
