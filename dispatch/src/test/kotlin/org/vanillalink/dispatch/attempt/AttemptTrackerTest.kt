package org.vanillalink.dispatch.attempt

import org.vanillalink.dispatch.attempt.AttemptDecision.AcceptHead
import org.vanillalink.dispatch.attempt.AttemptDecision.CloseConnection
import org.vanillalink.dispatch.attempt.AttemptDecision.CompleteResponse
import org.vanillalink.dispatch.attempt.AttemptDecision.FailAttempt
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
    fun `a stream without its end marker fails and reports the delivered tokens`() {
        val decisions =
            decisionsAfter(
                started(first),
                accepted(first),
                chunk(first, 0),
                chunk(first, 1),
                streamEnded(first, hasEndMarker = false),
            )

        val failure = FailAttempt(first, mayHaveRun = true, executionEnded = true, tokensDelivered = 2)
        assertEquals(listOf(CloseConnection(first), failure), decisions.takeLast(2))
    }

    @Test
    fun `tokens that the caller already has are skipped after a retry`() {
        val decisions =
            decisionsAfter(
                started(first),
                accepted(first),
                chunk(first, 0),
                chunk(first, 1),
                connectionFailed(first),
                started(second),
                accepted(second),
                chunk(second, 1),
                chunk(second, 2),
                streamEnded(second, hasEndMarker = true),
            )

        assertEquals(listOf(0L, 1L, 2L), decisions.filterIsInstance<ForwardToken>().map { it.tokenIndex })
        assertEquals(CompleteResponse(second), decisions.last())
    }

    @Test
    fun `a gap in the token indices fails the attempt and delivers no later token`() {
        val decisions =
            decisionsAfter(started(first), accepted(first), chunk(first, 0), chunk(first, 2), chunk(first, 3))

        assertEquals(listOf(0L), decisions.filterIsInstance<ForwardToken>().map { it.tokenIndex })
        val failure = FailAttempt(first, mayHaveRun = true, executionEnded = false, tokensDelivered = 1)
        assertEquals(listOf(failure), decisions.filterIsInstance<FailAttempt>())
    }

    @Test
    fun `a retry that ends before the tokens that the caller has is not a complete response`() {
        val decisions =
            decisionsAfter(
                started(first),
                accepted(first),
                chunk(first, 0),
                connectionFailed(first),
                started(second),
                accepted(second),
                streamEnded(second, hasEndMarker = false),
            )

        assertEquals(
            FailAttempt(second, mayHaveRun = true, executionEnded = true, tokensDelivered = 1),
            decisions.last(),
        )
    }

    @Test
    fun `a chunk with the id of another attempt is dropped and its connection is closed`() {
        val mismatched = AttemptEvent.StreamChunk(first, echoedAttempt = second, tokenIndex = 0)

        val decisions = decisionsAfter(started(first), accepted(first), mismatched)

        val failure = FailAttempt(first, mayHaveRun = true, executionEnded = false, tokensDelivered = 0)
        assertEquals(listOf(AcceptHead(first), CloseConnection(first), failure), decisions)
    }

    @Test
    fun `a response without the id of its attempt is dropped and its connection is closed`() {
        listOf(null, second).forEach { echoedAttempt ->
            val mismatched =
                AttemptEvent.HeadReceived(
                    first,
                    echoedAttempt,
                    notRunAttempt = null,
                    hasUsableStatus = true,
                )

            val decisions = decisionsAfter(started(first), mismatched, AttemptEvent.ResponseCompleted(first))

            assertEquals(CloseConnection(first), decisions.first())
            assertEquals(emptyList(), decisions.filterIsInstance<CompleteResponse>())
        }
    }

    @Test
    fun `a response without an accepted head is never complete`() {
        val streamed = decisionsAfter(started(first), streamEnded(first, hasEndMarker = true))
        val completed = decisionsAfter(started(first), AttemptEvent.ResponseCompleted(first))

        assertFalse(CompleteResponse(first) in streamed)
        assertFalse(CompleteResponse(first) in completed)
    }

    @Test
    fun `a late chunk of an earlier attempt is dropped and its connection is closed`() {
        val decisions =
            decisionsAfter(started(first), accepted(first), connectionFailed(first), started(second), chunk(first, 0))

        assertEquals(CloseConnection(first), decisions.last())
        assertEquals(emptyList(), decisions.filterIsInstance<ForwardToken>())
    }

    @Test
    fun `invalid data fails the attempt and closes its connection`() {
        val decisions =
            decisionsAfter(started(first), accepted(first), AttemptEvent.InvalidDataReceived(first), chunk(first, 0))

        assertEquals(emptyList(), decisions.filterIsInstance<ForwardToken>())
        val failure = FailAttempt(first, mayHaveRun = true, executionEnded = false, tokensDelivered = 0)
        assertEquals(listOf(failure), decisions.filterIsInstance<FailAttempt>())
    }

    @Test
    fun `data of a cancelled attempt is ignored`() {
        val cancelled = AttemptEvent.AttemptCancelled(first)

        val decisions =
            decisionsAfter(
                started(first),
                accepted(first),
                cancelled,
                chunk(first, 0),
                streamEnded(first, hasEndMarker = true),
            )

        assertEquals(listOf(AcceptHead(first)) + List(3) { CloseConnection(first) }, decisions)
    }

    @Test
    fun `an attempt is reported as not run only if no byte can have been sent`() {
        val neverSent = AttemptEvent.ConnectionFailed(first, mayHaveSentBytes = false)

        assertEquals(false, mayHaveRunAfter(started(first), neverSent))
        assertEquals(true, mayHaveRunAfter(started(first), connectionFailed(first)))
    }

    @Test
    fun `a target proves an attempt not run only by naming this attempt`() {
        assertEquals(false, mayHaveRunAfter(started(first), refused(notRunAttempt = first)))
        assertEquals(true, mayHaveRunAfter(started(first), refused(notRunAttempt = second)))
        assertEquals(true, mayHaveRunAfter(started(first), refused(notRunAttempt = null)))
    }

    @Test
    fun `with random failures, duplicates and gaps the caller gets each token once and in order`() {
        (1L..500L).forEach { seed ->
            val random = Random(seed)
            val events =
                (1..8).flatMap { number ->
                    val attempt = AttemptId("a$number")
                    val chunks = (0..19).filter { random.nextInt(30) != 0 }.map { chunk(attempt, it.toLong()) }
                    val received = chunks.drop(random.nextInt(6)).take(random.nextInt(21))
                    val duplicated = received.flatMap { chunk -> List(1 + random.nextInt(2)) { chunk } }
                    listOf(started(attempt), accepted(attempt)) + duplicated +
                        streamEnded(attempt, hasEndMarker = received.lastOrNull()?.tokenIndex == 19L)
                }

            val decisions = decisionsAfter(*events.toTypedArray())

            val tokens = decisions.filterIsInstance<ForwardToken>().map { it.tokenIndex }
            assertEquals(tokens.indices.map { it.toLong() }, tokens, "seed=$seed")
            if (decisions.any { it is CompleteResponse }) assertEquals(20, tokens.size, "seed=$seed")
        }
    }

    private fun mayHaveRunAfter(vararg events: AttemptEvent): Boolean =
        decisionsAfter(*events).filterIsInstance<FailAttempt>().single().mayHaveRun

    private fun decisionsAfter(vararg events: AttemptEvent): List<AttemptDecision> {
        var state = AttemptState()
        return events.flatMap { event ->
            val transition = testSubject.handle(state, event, Instant.EPOCH)
            state = transition.state
            transition.decisions
        }
    }

    private fun started(attempt: AttemptId) = AttemptEvent.AttemptStarted(attempt)

    private fun accepted(attempt: AttemptId) =
        AttemptEvent.HeadReceived(attempt, echoedAttempt = attempt, notRunAttempt = null, hasUsableStatus = true)

    private fun refused(notRunAttempt: AttemptId?) =
        AttemptEvent.HeadReceived(first, echoedAttempt = null, notRunAttempt = notRunAttempt, hasUsableStatus = false)

    private fun chunk(
        attempt: AttemptId,
        index: Long,
    ) = AttemptEvent.StreamChunk(attempt, attempt, index)

    private fun connectionFailed(attempt: AttemptId) = AttemptEvent.ConnectionFailed(attempt, mayHaveSentBytes = true)

    private fun streamEnded(
        attempt: AttemptId,
        hasEndMarker: Boolean,
    ) = AttemptEvent.StreamEnded(attempt, hasEndMarker)
}
