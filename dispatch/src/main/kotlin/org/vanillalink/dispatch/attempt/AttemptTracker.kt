/*
 * Says whether what arrives is the current attempt's answer, and whether it is whole.
 *
 * Only what carries the current attempt's id counts, and each token index is given once and in order, over all
 * attempts. Whether a failed attempt is followed by another one is the router's decision.
 */
package org.vanillalink.dispatch.attempt

import org.vanillalink.model.Aggregate
import org.vanillalink.model.AttemptId
import org.vanillalink.model.Transition
import java.time.Instant

private typealias AttemptTransition = Transition<AttemptState, AttemptDecision>

/** The answers to the attempts of one request. */
class AttemptTracker : Aggregate<AttemptState, AttemptEvent, AttemptDecision> {
    override fun handle(
        state: AttemptState,
        event: AttemptEvent,
        now: Instant,
    ): Transition<AttemptState, AttemptDecision> = when (event) {
        is AttemptEvent.AttemptStarted -> started(state, event)
        is AttemptEvent.HeadReceived -> head(state, event)
        is AttemptEvent.StreamChunk -> chunk(state, event)
        is AttemptEvent.GarbageReceived -> garbage(state, event)
        is AttemptEvent.StreamEnded -> streamEnded(state, event)
        is AttemptEvent.WholeAnswer -> wholeAnswer(state, event)
        is AttemptEvent.ConnectionFailed -> connectionFailed(state, event)
        is AttemptEvent.AttemptWithdrawn -> withdrawn(state, event)
    }

    private fun started(
        state: AttemptState,
        event: AttemptEvent.AttemptStarted,
    ): AttemptTransition {
        if (state.ended || state.current != null) return close(state, event.attempt)
        return Transition(state.copy(current = CurrentAttempt(event.attempt, seenTokens = state.tokensGiven)))
    }

    private fun head(
        state: AttemptState,
        event: AttemptEvent.HeadReceived,
    ): AttemptTransition {
        val current = state.current(event.attempt) ?: return close(state, event.attempt)
        val notRun = event.provedNotRun == event.attempt
        if (notRun) return failed(state, current, mayHaveRun = false, workEnded = true)
        if (!event.usable || event.echoed != event.attempt) return crossed(state, current)
        val accepted = state.copy(current = current.copy(accepted = true))
        return Transition(accepted, listOf(AttemptDecision.AcceptHead(event.attempt)))
    }

    private fun chunk(
        state: AttemptState,
        event: AttemptEvent.StreamChunk,
    ): AttemptTransition {
        val current = state.current(event.attempt) ?: return close(state, event.attempt)
        if (!current.accepted || event.echoed != event.attempt) return crossed(state, current)
        if (event.tokenIndex > state.tokensGiven) return crossed(state, current)
        val seen = current.copy(seenTokens = maxOf(current.seenTokens, event.tokenIndex + 1))
        if (event.tokenIndex < state.tokensGiven) return Transition(state.copy(current = seen))
        return Transition(
            state.copy(current = seen, tokensGiven = state.tokensGiven + 1),
            listOf(AttemptDecision.ForwardToken(event.tokenIndex)),
        )
    }

    private fun garbage(
        state: AttemptState,
        event: AttemptEvent.GarbageReceived,
    ): AttemptTransition {
        val current = state.current(event.attempt) ?: return close(state, event.attempt)
        return crossed(state, current)
    }

    private fun streamEnded(
        state: AttemptState,
        event: AttemptEvent.StreamEnded,
    ): AttemptTransition {
        val current = state.current(event.attempt) ?: return close(state, event.attempt)
        val whole = event.markerSeen && current.accepted && current.seenTokens >= state.tokensGiven
        return if (whole) finish(state, current) else failed(state, current, mayHaveRun = true, workEnded = true)
    }

    private fun wholeAnswer(
        state: AttemptState,
        event: AttemptEvent.WholeAnswer,
    ): AttemptTransition {
        val current = state.current(event.attempt) ?: return close(state, event.attempt)
        return if (current.accepted) finish(state, current) else crossed(state, current)
    }

    private fun connectionFailed(
        state: AttemptState,
        event: AttemptEvent.ConnectionFailed,
    ): AttemptTransition {
        val current = state.current(event.attempt) ?: return close(state, event.attempt)
        return failed(state, current, event.bytesMayHaveLeft, workEnded = !event.bytesMayHaveLeft)
    }

    private fun withdrawn(
        state: AttemptState,
        event: AttemptEvent.AttemptWithdrawn,
    ): AttemptTransition {
        val isCurrent = state.current(event.attempt) != null
        return close(if (isCurrent) state.copy(current = null) else state, event.attempt)
    }

    private fun finish(
        state: AttemptState,
        current: CurrentAttempt,
    ): AttemptTransition {
        val finished = AttemptDecision.FinishAnswer(current.attempt)
        return Transition(state.copy(current = null, ended = true), listOf(finished))
    }

    /** What arrives isn't this attempt's: nothing on its connection can be trusted any more. */
    private fun crossed(
        state: AttemptState,
        current: CurrentAttempt,
    ): AttemptTransition = failed(state, current, mayHaveRun = true, workEnded = false)

    private fun failed(
        state: AttemptState,
        current: CurrentAttempt,
        mayHaveRun: Boolean,
        workEnded: Boolean,
    ): AttemptTransition {
        val failure = AttemptDecision.FailAttempt(current.attempt, mayHaveRun, workEnded, state.tokensGiven)
        val decisions = listOf(AttemptDecision.CloseConnection(current.attempt), failure)
        return Transition(state.copy(current = null), decisions)
    }

    private fun close(
        state: AttemptState,
        attempt: AttemptId,
    ): AttemptTransition = Transition(state, listOf(AttemptDecision.CloseConnection(attempt)))

    private fun AttemptState.current(attempt: AttemptId): CurrentAttempt? =
        current?.takeIf { it.attempt == attempt && !ended }
}
