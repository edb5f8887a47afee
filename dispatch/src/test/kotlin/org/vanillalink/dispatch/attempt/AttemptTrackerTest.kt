package org.vanillalink.dispatch.attempt

import org.vanillalink.dispatch.attempt.AttemptDecision.CloseConnection
import org.vanillalink.dispatch.attempt.AttemptDecision.FailRequest
import org.vanillalink.dispatch.attempt.AttemptDecision.FinishStream
import org.vanillalink.dispatch.attempt.AttemptDecision.ForwardToken
import org.vanillalink.dispatch.attempt.AttemptDecision.StartAttempt
import org.vanillalink.model.AttemptId
import org.vanillalink.model.HostId
import org.vanillalink.model.RefusalOutcome
import org.vanillalink.model.RefusalReason
import java.time.Instant
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

class AttemptTrackerTest {
    private val testSubject = AttemptTracker()
    private val first = AttemptId("first")
    private val second = AttemptId("second")

    @Test
    fun `a stream without its end marker is resumed from what the caller has`() {
        val decisions = given(start(first, "h1"), chunk(first, 0), chunk(first, 1), ended(first, marker = false))

        assertEquals(listOf(CloseConnection(first), StartAttempt(2, setOf(HostId("h1")))), decisions.takeLast(2))
    }

    @Test
    fun `tokens that the caller has are skipped at the seam`() {
        val decisions =
            given(
                start(first, "h1"),
                chunk(first, 0),
                chunk(first, 1),
                failed(first),
                start(second, "h2"),
                chunk(second, 1),
                chunk(second, 2),
                ended(second, marker = true),
            )

        assertEquals(listOf(0L, 1L, 2L), decisions.filterIsInstance<ForwardToken>().map { it.tokenIndex })
        assertEquals(FinishStream, decisions.last())
    }

    @Test
    fun `a gap ends the attempt and gives nothing behind it`() {
        val decisions = given(start(first, "h1"), chunk(first, 0), chunk(first, 2), chunk(first, 3))

        assertEquals(listOf(0L), decisions.filterIsInstance<ForwardToken>().map { it.tokenIndex })
        assertNotNull(decisions.find { it is StartAttempt })
    }

    @Test
    fun `a retry that ends short of the tokens that the caller has is no whole answer`() {
        val decisions =
            given(
                start(first, "h1"),
                chunk(first, 0),
                failed(first),
                start(second, "h2"),
                ended(second, marker = false),
            )

        assertEquals(StartAttempt(1, setOf(HostId("h1"), HostId("h2"))), decisions.last())
    }

    @Test
    fun `a crossed chunk is dropped and its connection closed`() {
        val crossed = AttemptEvent.StreamChunk(first, echoed = second, tokenIndex = 0, text = "x")

        val decisions = given(start(first, "h1"), crossed)

        assertEquals(CloseConnection(first), decisions.first())
        assertEquals(emptyList(), decisions.filterIsInstance<ForwardToken>())
    }

    @Test
    fun `a crossed whole answer is dropped and its connection closed`() {
        val decisions = given(start(first, "h1"), AttemptEvent.WholeAnswer(first, echoed = null))

        assertEquals(CloseConnection(first), decisions.first())
        assertEquals(emptyList(), decisions.filterIsInstance<AttemptDecision.ForwardAnswer>())
    }

    @Test
    fun `a late chunk of an earlier attempt is dropped and its connection closed`() {
        val decisions = given(start(first, "h1"), failed(first), start(second, "h2"), chunk(first, 0))

        assertEquals(CloseConnection(first), decisions.last())
    }

    @Test
    fun `an engine that can't resume gives a typed failure once tokens were given`() {
        val decisions = given(start(first, "h1"), chunk(first, 0), failed(first), resumable = false)

        val refusal = (decisions.last() as FailRequest).refusal
        assertEquals(RefusalReason.ANSWER_INCOMPLETE, refusal.reason)
        assertEquals(RefusalOutcome.UNKNOWN, refusal.outcome)
    }

    @Test
    fun `a call without a key is sent again only while no byte can have left`() {
        val neverSent = AttemptEvent.ConnectionFailed(first, bytesMayHaveLeft = false)

        val before = given(start(first, "h1"), neverSent, repeatable = false)
        val after = given(start(first, "h1"), failed(first), repeatable = false)

        assertEquals(StartAttempt(0, setOf(HostId("h1"))), before.last())
        assertEquals(RefusalOutcome.UNKNOWN, (after.last() as FailRequest).refusal.outcome)
    }

    @Test
    fun `not-run is said only while no byte can have left`() {
        val neverSent = AttemptEvent.ConnectionFailed(first, bytesMayHaveLeft = false)

        assertEquals(RefusalOutcome.NOT_RUN, outcomeAfter(start(first, "h1"), neverSent))
        assertEquals(RefusalOutcome.UNKNOWN, outcomeAfter(start(first, "h1"), failed(first)))
        assertEquals(
            RefusalOutcome.UNKNOWN,
            outcomeAfter(start(second, "h2"), failed(second), start(first, "h1"), neverSent),
        )
    }

    @Test
    fun `a target proves not-run only with its own attempt`() {
        val own = AttemptEvent.TargetRefused(first, provedNotRun = first)
        val other = AttemptEvent.TargetRefused(first, provedNotRun = second)
        val none = AttemptEvent.TargetRefused(first, provedNotRun = null)

        assertEquals(RefusalOutcome.NOT_RUN, outcomeAfter(start(first, "h1"), own))
        assertEquals(RefusalOutcome.UNKNOWN, outcomeAfter(start(first, "h1"), other))
        assertEquals(RefusalOutcome.UNKNOWN, outcomeAfter(start(first, "h1"), none))
    }

    @Test
    fun `under random breaks, doubles and gaps the caller gets each token once and in order`() {
        (1L..500L).forEach { seed ->
            val random = Random(seed)
            val events =
                (1..8).flatMap { number ->
                    val attempt = AttemptId("a$number")
                    val chunks = (0..19).filter { random.nextInt(30) != 0 }.map { chunk(attempt, it.toLong()) }
                    val kept = chunks.drop(random.nextInt(6)).take(random.nextInt(21))
                    val doubled = kept.flatMap { chunk -> List(1 + random.nextInt(2)) { chunk } }
                    listOf(start(attempt, "h$number")) + doubled +
                        ended(attempt, marker = kept.lastOrNull()?.tokenIndex == 19L)
                }

            val given = given(*events.toTypedArray())

            val tokens = given.filterIsInstance<ForwardToken>().map { it.tokenIndex }
            assertEquals(tokens.indices.map { it.toLong() }, tokens, "seed=$seed")
            if (FinishStream in given) assertEquals(20, tokens.size, "seed=$seed")
        }
    }

    private fun outcomeAfter(vararg events: AttemptEvent): RefusalOutcome =
        (given(*events, AttemptEvent.RetryDenied(null)).last() as FailRequest).refusal.outcome

    private fun given(
        vararg events: AttemptEvent,
        resumable: Boolean = true,
        repeatable: Boolean = true,
    ): List<AttemptDecision> {
        var state = AttemptState(Instant.EPOCH, resumable, repeatable)
        return events.flatMap { event ->
            val transition = testSubject.handle(state, event, Instant.EPOCH)
            state = transition.state
            transition.decisions
        }
    }

    private fun start(
        attempt: AttemptId,
        target: String,
    ) = AttemptEvent.AttemptStarted(attempt, HostId(target))

    private fun chunk(
        attempt: AttemptId,
        index: Long,
    ) = AttemptEvent.StreamChunk(attempt, attempt, index, "t$index")

    private fun failed(attempt: AttemptId) = AttemptEvent.ConnectionFailed(attempt, bytesMayHaveLeft = true)

    private fun ended(
        attempt: AttemptId,
        marker: Boolean,
    ) = AttemptEvent.StreamEnded(attempt, marker)
}
