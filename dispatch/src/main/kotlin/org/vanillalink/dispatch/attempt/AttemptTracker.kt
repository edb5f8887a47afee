/*
 * Brings one model request's answer to its caller whole, over several attempts where needed.
 *
 * Only tokens that carry the current attempt's id count, and each token index is given once and in order.
 */
package org.vanillalink.dispatch.attempt

import org.vanillalink.model.Aggregate
import org.vanillalink.model.AttemptId
import org.vanillalink.model.Refusal
import org.vanillalink.model.RefusalOutcome
import org.vanillalink.model.RefusalReason
import org.vanillalink.model.Transition
import java.time.Duration
import java.time.Instant

private typealias AttemptTransition = Transition<AttemptState, AttemptDecision>

/** The attempts of one model request. */
class AttemptTracker(
    private val settings: AttemptSettings = AttemptSettings(),
) : Aggregate<AttemptState, AttemptEvent, AttemptDecision> {
    override fun handle(
        state: AttemptState,
        event: AttemptEvent,
        now: Instant,
    ): Transition<AttemptState, AttemptDecision> = when (event) {
        is AttemptEvent.AttemptStarted -> started(state, event)
        is AttemptEvent.StreamChunk -> chunk(state, event, now)
        is AttemptEvent.StreamEnded -> streamEnded(state, event, now)
        is AttemptEvent.WholeAnswer -> wholeAnswer(state, event, now)
        is AttemptEvent.ConnectionFailed -> connectionFailed(state, event, now)
        is AttemptEvent.TargetRefused -> targetRefused(state, event, now)
        is AttemptEvent.RetryDenied -> retryDenied(state, event, now)
    }

    private fun started(
        state: AttemptState,
        event: AttemptEvent.AttemptStarted,
    ): AttemptTransition {
        if (state.ended || state.current != null) return close(state, event.attempt)
        val current = CurrentAttempt(event.attempt, event.target, seenTokens = resumeFrom(state))
        return Transition(state.copy(current = current, attemptsMade = state.attemptsMade + 1))
    }

    private fun chunk(
        state: AttemptState,
        event: AttemptEvent.StreamChunk,
        now: Instant,
    ): AttemptTransition {
        val current = state.current(event.attempt) ?: return close(state, event.attempt)
        if (event.echoed != event.attempt) return attemptFailed(state, current, mayHaveRun = true, now)
        if (event.tokenIndex > state.tokensGiven) return attemptFailed(state, current, mayHaveRun = true, now)
        val seen = current.copy(seenTokens = maxOf(current.seenTokens, event.tokenIndex + 1))
        val next = state.copy(current = seen, mayHaveRun = true)
        if (event.tokenIndex < state.tokensGiven) return Transition(next)
        return Transition(
            next.copy(tokensGiven = state.tokensGiven + 1),
            listOf(AttemptDecision.ForwardToken(event.tokenIndex, event.text)),
        )
    }

    private fun streamEnded(
        state: AttemptState,
        event: AttemptEvent.StreamEnded,
        now: Instant,
    ): AttemptTransition {
        val current = state.current(event.attempt) ?: return close(state, event.attempt)
        val whole = event.markerSeen && current.seenTokens >= state.tokensGiven
        if (!whole) return attemptFailed(state, current, mayHaveRun = true, now)
        return Transition(state.copy(current = null, ended = true), listOf(AttemptDecision.FinishStream))
    }

    private fun wholeAnswer(
        state: AttemptState,
        event: AttemptEvent.WholeAnswer,
        now: Instant,
    ): AttemptTransition {
        val current = state.current(event.attempt) ?: return close(state, event.attempt)
        if (event.echoed != event.attempt) return attemptFailed(state, current, mayHaveRun = true, now)
        val answer = AttemptDecision.ForwardAnswer(event.attempt)
        return Transition(state.copy(current = null, ended = true), listOf(answer))
    }

    private fun connectionFailed(
        state: AttemptState,
        event: AttemptEvent.ConnectionFailed,
        now: Instant,
    ): AttemptTransition {
        val current = state.current(event.attempt) ?: return close(state, event.attempt)
        return attemptFailed(state, current, event.bytesMayHaveLeft, now)
    }

    private fun targetRefused(
        state: AttemptState,
        event: AttemptEvent.TargetRefused,
        now: Instant,
    ): AttemptTransition {
        val current = state.current(event.attempt) ?: return close(state, event.attempt)
        return attemptFailed(state, current, mayHaveRun = event.provedNotRun != event.attempt, now)
    }

    private fun retryDenied(
        state: AttemptState,
        event: AttemptEvent.RetryDenied,
        now: Instant,
    ): AttemptTransition {
        if (state.ended || state.current != null) return Transition(state)
        return fail(state, event.retryAfter ?: retryAfter(state, now))
    }

    private fun attemptFailed(
        state: AttemptState,
        current: CurrentAttempt,
        mayHaveRun: Boolean,
        now: Instant,
    ): AttemptTransition {
        val next =
            state.copy(
                current = null,
                mayHaveRun = state.mayHaveRun || mayHaveRun,
                failedTargets = state.failedTargets + current.target,
            )
        val retry = retryOrFail(next, now)
        return Transition(retry.state, listOf(AttemptDecision.CloseConnection(current.attempt)) + retry.decisions)
    }

    private fun retryOrFail(
        state: AttemptState,
        now: Instant,
    ): AttemptTransition {
        val seamless = state.tokensGiven == 0L || state.resumable
        val safe = state.repeatable || !state.mayHaveRun
        if (!safe || !seamless ||
            state.attemptsMade >= settings.attemptLimit
        ) {
            return fail(state, retryAfter(state, now))
        }
        return Transition(state, listOf(AttemptDecision.StartAttempt(resumeFrom(state), state.failedTargets)))
    }

    private fun fail(
        state: AttemptState,
        retryAfter: Duration,
    ): AttemptTransition {
        val outcome = if (state.mayHaveRun) RefusalOutcome.UNKNOWN else RefusalOutcome.NOT_RUN
        val reason = if (state.tokensGiven > 0) RefusalReason.ANSWER_INCOMPLETE else RefusalReason.TARGET_FAILED
        val detail = "No whole answer after ${state.attemptsMade} attempts, ${state.tokensGiven} tokens given"
        val refusal = Refusal(reason, outcome, detail, retryAfter)
        return Transition(state.copy(ended = true), listOf(AttemptDecision.FailRequest(refusal)))
    }

    private fun close(
        state: AttemptState,
        attempt: AttemptId,
    ): AttemptTransition = Transition(state, listOf(AttemptDecision.CloseConnection(attempt)))

    private fun resumeFrom(state: AttemptState): Long = if (state.resumable) state.tokensGiven else 0

    private fun retryAfter(
        state: AttemptState,
        now: Instant,
    ): Duration =
        Duration.between(state.startedAt, now).coerceIn(settings.shortestRetryAfter, settings.longestRetryAfter)

    private fun AttemptState.current(attempt: AttemptId): CurrentAttempt? =
        current?.takeIf { it.attempt == attempt && !ended }
}
