package org.vanillalink.routing

import org.vanillalink.model.RefusalOutcome
import org.vanillalink.model.RefusalReason
import org.vanillalink.model.RequestId
import org.vanillalink.model.WorkspaceId
import java.time.Duration
import java.time.Instant
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class RouterQueueTest {
    @Test
    fun `workspaces get slots by their shares and others use an idle share`() {
        val testSubject = createFullRouter(RouterSettings(workspaceShares = mapOf(WorkspaceId("large") to 3)))
        repeat(40) { testSubject.arrive("large-$it", workspace = "large") }
        repeat(10) { testSubject.arrive("small-$it", workspace = "small") }

        val order = finishAndStart(testSubject, 50)

        assertEquals(6, order.take(24).count { it.startsWith("small") }, order.toString())
        assertEquals(50, order.size)
    }

    @Test
    fun `a higher priority takes precedence over shares`() {
        val testSubject = createFullRouter()
        testSubject.arrive("low", workspace = "a")
        testSubject.arrive("high", workspace = "b", priority = 5)

        val order = finishAndStart(testSubject, 2)

        assertEquals(listOf("high", "low"), order)
    }

    @Test
    fun `a full queue drops the newest of the lowest priority and of the workspace most over its share`() {
        val testSubject = createFullRouter(RouterSettings(queuedRequests = 4))
        repeat(3) { testSubject.arrive("large-$it", workspace = "large") }
        testSubject.arrive("small", workspace = "small")

        val dropped = testSubject.arrive("urgent", workspace = "small", priority = 1).refusals().single()

        assertEquals(RequestId("large-2"), dropped.request)
        assertEquals(RefusalOutcome.NOT_RUN, dropped.refusal.outcome)
        assertEquals(RefusalReason.OVERLOADED, dropped.refusal.reason)
    }

    @Test
    fun `a request that can't meet its deadline is refused at once and accepted after its retry-after time`() {
        val testSubject = createFullRouter()
        repeat(10) { testSubject.arrive("q$it") }

        val refusal =
            testSubject
                .arrive("late", deadlineIn = Duration.ofSeconds(5))
                .refusals()
                .single()
                .refusal
        serveRequestsFor(testSubject, checkNotNull(refusal.retryAfter))
        val decisions = testSubject.arrive("again", deadlineIn = Duration.ofSeconds(5))

        assertEquals(RefusalOutcome.NOT_RUN, refusal.outcome)
        assertEquals(RefusalReason.OVERLOADED, refusal.reason)
        assertTrue(checkNotNull(refusal.retryAfter) > Duration.ofSeconds(5), "${refusal.retryAfter}")
        assertEquals(emptyList(), decisions.refusals())
    }

    @Test
    fun `callers that are refused together get staggered retry-after times`() {
        val testSubject = createFullRouter()
        repeat(10) { testSubject.arrive("q$it") }

        val refused = (1..3).flatMap { testSubject.arrive("r$it", deadlineIn = Duration.ofSeconds(5)).refusals() }

        val retryAfterSeconds = refused.map { checkNotNull(it.refusal.retryAfter).toSeconds() }
        assertEquals(listOf(8L, 9L, 10L), retryAfterSeconds)
    }

    @Test
    fun `a request is queued if expected capacity lets it meet its deadline`() {
        val testSubject = createFullRouter()
        repeat(10) { testSubject.arrive("q$it") }
        testSubject.feed(RouterEvent.CapacityExpected(SERVICE, unitsPerSecond = 2.0))

        val decisions = testSubject.arrive("late", deadlineIn = Duration.ofSeconds(5))

        assertEquals(emptyList(), decisions.refusals())
    }

    @Test
    fun `without a serving target the retry-after time lasts until the next probe`() {
        val testSubject = RouterFixture()
        testSubject.feed(RouterEvent.CapacityExpected(SERVICE, 0.0, nextProbeAt = Instant.EPOCH.plusSeconds(7)))

        val refusal =
            testSubject
                .arrive("r")
                .refusals()
                .single()
                .refusal

        assertEquals(RefusalReason.NO_SERVING_TARGET, refusal.reason)
        assertEquals(RefusalOutcome.NOT_RUN, refusal.outcome)
        assertEquals(Duration.ofSeconds(7), refusal.retryAfter)
    }

    @Test
    fun `the next tick after a loss of targets refuses the last queued requests of low priority`() {
        val testSubject = RouterFixture()
        testSubject.target("a", capacity = 4)
        testSubject.target("b", capacity = 1)
        testSubject.learnServiceTime()
        repeat(5) { testSubject.arrive("running-$it") }
        repeat(20) { testSubject.arrive("low-$it", deadlineIn = Duration.ofSeconds(8)) }
        repeat(4) { testSubject.arrive("high-$it", priority = 1, deadlineIn = Duration.ofSeconds(8)) }
        testSubject.feed(RouterEvent.CandidateRemoved(SERVICE, testSubject.candidate("a").host))

        val refused = testSubject.tick().refusals().map { it.request.value }

        assertTrue(refused.none { it.startsWith("high") }, refused.toString())
        assertTrue("low-19" in refused && "low-0" !in refused, refused.toString())
    }

    @Test
    fun `at its deadline a queued request is refused as not run and a started one as unknown`() {
        val testSubject = RouterFixture()
        testSubject.target("a", capacity = 1)
        testSubject.arrive("started", deadlineIn = Duration.ofSeconds(2))
        testSubject.arrive("queued", deadlineIn = Duration.ofSeconds(2))

        val decisions = testSubject.tick(after = Duration.ofSeconds(2))

        val outcomes = decisions.refusals().associate { it.request.value to it.refusal.outcome }
        assertEquals(mapOf("started" to RefusalOutcome.UNKNOWN, "queued" to RefusalOutcome.NOT_RUN), outcomes)
        assertTrue(RouterDecision.CancelAttempt(RequestId("started"), 1) in decisions)
        assertEquals(1, testSubject.state.runningAttempts(SERVICE, testSubject.candidate("a").host))
    }

    @Test
    fun `the timeline shows one begin and one end of an overload`() {
        val testSubject = createFullRouter(RouterSettings(queuedRequests = 1))

        val began = (1..4).flatMap { testSubject.arrive("q$it") }.filterIsInstance<RouterDecision.OverloadBegan>()
        val ended = testSubject.tick(after = Duration.ofSeconds(6)).filterIsInstance<RouterDecision.OverloadEnded>()

        assertEquals(1, began.size)
        assertEquals(listOf(RouterDecision.OverloadEnded(SERVICE, refused = 3)), ended)
    }

    /** Returns a router whose only slot is occupied and that estimates one second per request. */
    private fun createFullRouter(settings: RouterSettings = RouterSettings()): RouterFixture {
        val fixture = RouterFixture(settings)
        fixture.target("a", capacity = 1)
        fixture.learnServiceTime()
        runningRequest = fixture.arrive("first").startedRequests().single()
        return fixture
    }

    private var runningRequest = ""

    private fun finishAndStart(
        fixture: RouterFixture,
        count: Int,
    ): List<String> = (1..count).map { finishRunning(fixture) }

    private fun finishRunning(fixture: RouterFixture): String {
        runningRequest = fixture.finish(runningRequest).startedRequests().single()
        return runningRequest
    }

    private fun serveRequestsFor(
        fixture: RouterFixture,
        duration: Duration,
    ) {
        repeat(duration.toSeconds().toInt()) {
            fixture.now = fixture.now.plusSeconds(1)
            finishRunning(fixture)
        }
        fixture.now = fixture.now.plus(duration.minusSeconds(duration.toSeconds()))
    }
}
