package org.vanillalink.dispatch.attempt

import org.vanillalink.dispatch.attempt.AttemptDecision.AcceptHead
import org.vanillalink.dispatch.attempt.AttemptDecision.CloseConnection
import org.vanillalink.dispatch.attempt.AttemptDecision.FailAttempt
import org.vanillalink.dispatch.attempt.AttemptDecision.FinishAnswer
import org.vanillalink.dispatch.attempt.AttemptDecision.ForwardToken
import org.vanillalink.model.AttemptId
import java.time.Instant
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse

class AttemptTrackerTest {
    private val testSubject = AttemptTracker()
    private val first = AttemptId("first")
    private val second = AttemptId("second")

    @Test
    fun `a stream without its end marker failed with what the caller has`() {
        val decisions = given(start(first), head(first), chunk(first, 0), chunk(first, 1), ended(first, marker = false))

        val failure = FailAttempt(first, mayHaveRun = true, workEnded = true, tokensGiven = 2)
        assertEquals(listOf(CloseConnection(first), failure), decisions.takeLast(2))
    }

    @Test
    fun `tokens that the caller has are skipped at the seam`() {
        val decisions =
            given(
                start(first),
                head(first),
                chunk(first, 0),
                chunk(first, 1),
                failed(first),
                start(second),
                head(second),
                chunk(second, 1),
                chunk(second, 2),
                ended(second, marker = true),
            )

        assertEquals(listOf(0L, 1L, 2L), decisions.filterIsInstance<ForwardToken>().map { it.tokenIndex })
        assertEquals(FinishAnswer(second), decisions.last())
    }

    @Test
    fun `a gap ends the attempt and gives nothing behind it`() {
        val decisions = given(start(first), head(first), chunk(first, 0), chunk(first, 2), chunk(first, 3))

        assertEquals(listOf(0L), decisions.filterIsInstance<ForwardToken>().map { it.tokenIndex })
        val failure = FailAttempt(first, mayHaveRun = true, workEnded = false, tokensGiven = 1)
        assertEquals(listOf(failure), decisions.filterIsInstance<FailAttempt>())
    }

    @Test
    fun `a retry that ends short of the tokens that the caller has is no whole answer`() {
        val decisions =
            given(
                start(first),
                head(first),
                chunk(first, 0),
                failed(first),
                start(second),
                head(second),
                ended(second, marker = false),
            )

        assertEquals(FailAttempt(second, mayHaveRun = true, workEnded = true, tokensGiven = 1), decisions.last())
    }

    @Test
    fun `a crossed chunk is dropped and its connection closed`() {
        val crossed = AttemptEvent.StreamChunk(first, echoed = second, tokenIndex = 0)

        val decisions = given(start(first), head(first), crossed)

        val failure = FailAttempt(first, mayHaveRun = true, workEnded = false, tokensGiven = 0)
        assertEquals(listOf(AcceptHead(first), CloseConnection(first), failure), decisions)
    }

    @Test
    fun `a crossed whole answer is dropped and its connection closed`() {
        listOf(null, second).forEach { echoed ->
            val crossed = AttemptEvent.HeadReceived(first, echoed, provedNotRun = null, usable = true)

            val decisions = given(start(first), crossed, AttemptEvent.WholeAnswer(first))

            assertEquals(CloseConnection(first), decisions.first())
            assertEquals(emptyList(), decisions.filterIsInstance<FinishAnswer>())
        }
    }

    @Test
    fun `an answer without an accepted head is never whole`() {
        val streamed = given(start(first), ended(first, marker = true))
        val whole = given(start(first), AttemptEvent.WholeAnswer(first))

        assertFalse(FinishAnswer(first) in streamed)
        assertFalse(FinishAnswer(first) in whole)
    }

    @Test
    fun `a late chunk of an earlier attempt is dropped and its connection closed`() {
        val decisions = given(start(first), head(first), failed(first), start(second), chunk(first, 0))

        assertEquals(CloseConnection(first), decisions.last())
        assertEquals(emptyList(), decisions.filterIsInstance<ForwardToken>())
    }

    @Test
    fun `garbage ends the attempt and its connection`() {
        val decisions = given(start(first), head(first), AttemptEvent.GarbageReceived(first), chunk(first, 0))

        assertEquals(emptyList(), decisions.filterIsInstance<ForwardToken>())
        val failure = FailAttempt(first, mayHaveRun = true, workEnded = false, tokensGiven = 0)
        assertEquals(listOf(failure), decisions.filterIsInstance<FailAttempt>())
    }

    @Test
    fun `nothing counts for an attempt that was withdrawn`() {
        val withdrawn = AttemptEvent.AttemptWithdrawn(first)

        val decisions = given(start(first), head(first), withdrawn, chunk(first, 0), ended(first, marker = true))

        assertEquals(listOf(AcceptHead(first)) + List(3) { CloseConnection(first) }, decisions)
    }

    @Test
    fun `not-run is said only while no byte can have left`() {
        val neverSent = AttemptEvent.ConnectionFailed(first, bytesMayHaveLeft = false)

        assertEquals(false, mayHaveRunAfter(start(first), neverSent))
        assertEquals(true, mayHaveRunAfter(start(first), failed(first)))
    }

    @Test
    fun `a target proves not-run only with its own attempt`() {
        assertEquals(false, mayHaveRunAfter(start(first), refused(provedNotRun = first)))
        assertEquals(true, mayHaveRunAfter(start(first), refused(provedNotRun = second)))
        assertEquals(true, mayHaveRunAfter(start(first), refused(provedNotRun = null)))
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
                    listOf(start(attempt), head(attempt)) + doubled +
                        ended(attempt, marker = kept.lastOrNull()?.tokenIndex == 19L)
                }

            val given = given(*events.toTypedArray())

            val tokens = given.filterIsInstance<ForwardToken>().map { it.tokenIndex }
            assertEquals(tokens.indices.map { it.toLong() }, tokens, "seed=$seed")
            if (given.any { it is FinishAnswer }) assertEquals(20, tokens.size, "seed=$seed")
        }
    }

    private fun mayHaveRunAfter(vararg events: AttemptEvent): Boolean =
        given(*events).filterIsInstance<FailAttempt>().single().mayHaveRun

    private fun given(vararg events: AttemptEvent): List<AttemptDecision> {
        var state = AttemptState()
        return events.flatMap { event ->
            val transition = testSubject.handle(state, event, Instant.EPOCH)
            state = transition.state
            transition.decisions
        }
    }

    private fun start(attempt: AttemptId) = AttemptEvent.AttemptStarted(attempt)

    private fun head(attempt: AttemptId) =
        AttemptEvent.HeadReceived(attempt, echoed = attempt, provedNotRun = null, usable = true)

    private fun refused(provedNotRun: AttemptId?) =
        AttemptEvent.HeadReceived(first, echoed = null, provedNotRun = provedNotRun, usable = false)

    private fun chunk(
        attempt: AttemptId,
        index: Long,
    ) = AttemptEvent.StreamChunk(attempt, attempt, index)

    private fun failed(attempt: AttemptId) = AttemptEvent.ConnectionFailed(attempt, bytesMayHaveLeft = true)

    private fun ended(
        attempt: AttemptId,
        marker: Boolean,
    ) = AttemptEvent.StreamEnded(attempt, marker)
}
