/*
 * What happens to the attempts of one request, and what has to be done about it.
 */
package org.vanillalink.dispatch.attempt

import org.vanillalink.model.AttemptId

/** What happened. The attempt in each event is the one that was sent on the connection that the event comes from. */
sealed interface AttemptEvent {
    /** The request is sent as [attempt]. */
    data class AttemptStarted(
        val attempt: AttemptId,
    ) : AttemptEvent

    /**
     * The answer's head came. [echoedAttempt] is the attempt in its header and [notRunAttempt] the one that it says
     * never ran; [hasUsableStatus] tells whether the status is one that can come with an answer.
     */
    data class HeadReceived(
        val attempt: AttemptId,
        val echoedAttempt: AttemptId?,
        val notRunAttempt: AttemptId?,
        val hasUsableStatus: Boolean,
    ) : AttemptEvent

    /** One token; [echoedAttempt] is the id in the chunk and [tokenIndex] counts from 0 over the whole answer. */
    data class StreamChunk(
        val attempt: AttemptId,
        val echoedAttempt: AttemptId?,
        val tokenIndex: Long,
    ) : AttemptEvent

    /** What came is no part of any answer, or more than is taken. */
    data class InvalidDataReceived(
        val attempt: AttemptId,
    ) : AttemptEvent

    /** The stream ended; [hasEndMarker] tells whether `[DONE]` came. */
    data class StreamEnded(
        val attempt: AttemptId,
        val hasEndMarker: Boolean,
    ) : AttemptEvent

    /** An answer that isn't streamed in tokens came whole. */
    data class ResponseCompleted(
        val attempt: AttemptId,
    ) : AttemptEvent

    /** The connection couldn't be made, broke, or was given up as silent. */
    data class ConnectionFailed(
        val attempt: AttemptId,
        val mayHaveSentBytes: Boolean,
    ) : AttemptEvent

    /** Nobody waits for the attempt any more. */
    data class AttemptCancelled(
        val attempt: AttemptId,
    ) : AttemptEvent
}

/** What has to be done. */
sealed interface AttemptDecision {
    /** The head is the attempt's own: what follows may be given to the caller. */
    data class AcceptHead(
        val attempt: AttemptId,
    ) : AttemptDecision

    /** Give the caller token [tokenIndex]. */
    data class ForwardToken(
        val tokenIndex: Long,
    ) : AttemptDecision

    /** The caller has, or can be given, the whole answer of [attempt]. */
    data class CompleteResponse(
        val attempt: AttemptId,
    ) : AttemptDecision

    /** Close the connection of [attempt] and never use it again. */
    data class CloseConnection(
        val attempt: AttemptId,
    ) : AttemptDecision

    /**
     * Tell the router, which decides on another try, that [attempt] failed. [mayHaveRun] is false only where that is
     * certain; [executionEnded] tells whether the target certainly no longer works on it; the caller has
     * [tokensDelivered].
     */
    data class FailAttempt(
        val attempt: AttemptId,
        val mayHaveRun: Boolean,
        val executionEnded: Boolean,
        val tokensDelivered: Long,
    ) : AttemptDecision
}
