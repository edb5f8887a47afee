/*
 * Checks that received data belongs to the current attempt, and whether the response is complete.
 *
 * Only data that carries the id of the current attempt is accepted. Each token index is passed to the caller once and
 * in order, across all attempts. The router decides whether a failed attempt is followed by another one.
 */
package org.vanillalink.dispatch.attempt

import org.vanillalink.model.Aggregate
import org.vanillalink.model.AttemptId
import org.vanillalink.model.Transition
import java.time.Instant

private typealias AttemptTransition = Transition<AttemptState, AttemptDecision>

/** Tracks the responses to the attempts of one request. */
class AttemptTracker : Aggregate<AttemptState, AttemptEvent, AttemptDecision> {
    override fun handle(
        state: AttemptState,
        event: AttemptEvent,
        now: Instant,
    ): Transition<AttemptState, AttemptDecision> = when (event) {
        is AttemptEvent.AttemptStarted -> onAttemptStarted(state, event)
        is AttemptEvent.HeadReceived -> onHeadReceived(state, event)
        is AttemptEvent.StreamChunk -> onStreamChunk(state, event)
        is AttemptEvent.InvalidDataReceived -> onInvalidData(state, event)
        is AttemptEvent.StreamEnded -> onStreamEnded(state, event)
        is AttemptEvent.ResponseCompleted -> onResponseCompleted(state, event)
        is AttemptEvent.ConnectionFailed -> onConnectionFailed(state, event)
        is AttemptEvent.AttemptCancelled -> onAttemptCancelled(state, event)
    }

    private fun onAttemptStarted(
        state: AttemptState,
        event: AttemptEvent.AttemptStarted,
    ): AttemptTransition {
        if (state.isCompleted || state.current != null) return close(state, event.attempt)
        return Transition(state.copy(current = CurrentAttempt(event.attempt, nextTokenIndex = state.tokensDelivered)))
    }

    private fun onHeadReceived(
        state: AttemptState,
        event: AttemptEvent.HeadReceived,
    ): AttemptTransition {
        val current = state.findCurrent(event.attempt) ?: return close(state, event.attempt)
        val isProvedNotRun = event.notRunAttempt == event.attempt
        if (isProvedNotRun) return fail(state, current, mayHaveRun = false, executionEnded = true)
        if (!event.hasUsableStatus || event.echoedAttempt != event.attempt) return failMismatched(state, current)
        val accepted = state.copy(current = current.copy(isHeadAccepted = true))
        return Transition(accepted, listOf(AttemptDecision.AcceptHead(event.attempt)))
    }

    private fun onStreamChunk(
        state: AttemptState,
        event: AttemptEvent.StreamChunk,
    ): AttemptTransition {
        val current = state.findCurrent(event.attempt) ?: return close(state, event.attempt)
        if (!current.isHeadAccepted || event.echoedAttempt != event.attempt) return failMismatched(state, current)
        if (event.tokenIndex > state.tokensDelivered) return failMismatched(state, current)
        val advanced = current.copy(nextTokenIndex = maxOf(current.nextTokenIndex, event.tokenIndex + 1))
        if (event.tokenIndex < state.tokensDelivered) return Transition(state.copy(current = advanced))
        return Transition(
            state.copy(current = advanced, tokensDelivered = state.tokensDelivered + 1),
            listOf(AttemptDecision.ForwardToken(event.tokenIndex)),
        )
    }

    private fun onInvalidData(
        state: AttemptState,
        event: AttemptEvent.InvalidDataReceived,
    ): AttemptTransition {
        val current = state.findCurrent(event.attempt) ?: return close(state, event.attempt)
        return failMismatched(state, current)
    }

    private fun onStreamEnded(
        state: AttemptState,
        event: AttemptEvent.StreamEnded,
    ): AttemptTransition {
        val current = state.findCurrent(event.attempt) ?: return close(state, event.attempt)
        val isDone = event.hasEndMarker && current.isHeadAccepted && current.nextTokenIndex >= state.tokensDelivered
        return if (isDone) complete(state, current) else fail(state, current, mayHaveRun = true, executionEnded = true)
    }

    private fun onResponseCompleted(
        state: AttemptState,
        event: AttemptEvent.ResponseCompleted,
    ): AttemptTransition {
        val current = state.findCurrent(event.attempt) ?: return close(state, event.attempt)
        return if (current.isHeadAccepted) complete(state, current) else failMismatched(state, current)
    }

    private fun onConnectionFailed(
        state: AttemptState,
        event: AttemptEvent.ConnectionFailed,
    ): AttemptTransition {
        val current = state.findCurrent(event.attempt) ?: return close(state, event.attempt)
        return fail(state, current, event.mayHaveSentBytes, executionEnded = !event.mayHaveSentBytes)
    }

    private fun onAttemptCancelled(
        state: AttemptState,
        event: AttemptEvent.AttemptCancelled,
    ): AttemptTransition {
        val isCurrent = state.findCurrent(event.attempt) != null
        return close(if (isCurrent) state.copy(current = null) else state, event.attempt)
    }

    private fun complete(
        state: AttemptState,
        current: CurrentAttempt,
    ): AttemptTransition {
        val decision = AttemptDecision.CompleteResponse(current.attempt)
        return Transition(state.copy(current = null, isCompleted = true), listOf(decision))
    }

    /** Fails the attempt after data that doesn't belong to it: nothing on its connection can be trusted any more. */
    private fun failMismatched(
        state: AttemptState,
        current: CurrentAttempt,
    ): AttemptTransition = fail(state, current, mayHaveRun = true, executionEnded = false)

    private fun fail(
        state: AttemptState,
        current: CurrentAttempt,
        mayHaveRun: Boolean,
        executionEnded: Boolean,
    ): AttemptTransition {
        val failure = AttemptDecision.FailAttempt(current.attempt, mayHaveRun, executionEnded, state.tokensDelivered)
        val decisions = listOf(AttemptDecision.CloseConnection(current.attempt), failure)
        return Transition(state.copy(current = null), decisions)
    }

    private fun close(
        state: AttemptState,
        attempt: AttemptId,
    ): AttemptTransition = Transition(state, listOf(AttemptDecision.CloseConnection(attempt)))

    private fun AttemptState.findCurrent(attempt: AttemptId): CurrentAttempt? =
        current?.takeIf { it.attempt == attempt && !isCompleted }
}
