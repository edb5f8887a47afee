/*
 * Events and decisions of AttemptTracker.
 */
package org.vanillalink.dispatch.attempt

import org.vanillalink.model.AttemptId

/** The attempt in each event is the one that was sent on the connection that the event comes from. */
sealed interface AttemptEvent {
    /** The request is about to be sent as [attempt]. */
    data class AttemptStarted(
        val attempt: AttemptId,
    ) : AttemptEvent

    /**
     * The head of the response arrived. [echoedAttempt] is the attempt id in its headers and [notRunAttempt] the
     * attempt that the headers declare as not run. [hasUsableStatus] is whether a response with this status can be
     * passed to the caller.
     */
    data class HeadReceived(
        val attempt: AttemptId,
        val echoedAttempt: AttemptId?,
        val notRunAttempt: AttemptId?,
        val hasUsableStatus: Boolean,
    ) : AttemptEvent

    /** One token. [echoedAttempt] is the id in the chunk; [tokenIndex] counts from 0 over the complete response. */
    data class StreamChunk(
        val attempt: AttemptId,
        val echoedAttempt: AttemptId?,
        val tokenIndex: Long,
    ) : AttemptEvent

    /** The received data is not part of a valid response, or exceeds a size limit. */
    data class InvalidDataReceived(
        val attempt: AttemptId,
    ) : AttemptEvent

    /** The stream ended; [hasEndMarker] is whether `[DONE]` was received. */
    data class StreamEnded(
        val attempt: AttemptId,
        val hasEndMarker: Boolean,
    ) : AttemptEvent

    /** A response that isn't streamed in tokens was received completely. */
    data class ResponseCompleted(
        val attempt: AttemptId,
    ) : AttemptEvent

    /** The connection could not be opened, broke, or was closed because it was silent. */
    data class ConnectionFailed(
        val attempt: AttemptId,
        val mayHaveSentBytes: Boolean,
    ) : AttemptEvent

    /** The result of the attempt is no longer needed. */
    data class AttemptCancelled(
        val attempt: AttemptId,
    ) : AttemptEvent
}

/** Actions that [AttemptTracker] requests. */
sealed interface AttemptDecision {
    /** The head belongs to [attempt]: the data that follows may be passed to the caller. */
    data class AcceptHead(
        val attempt: AttemptId,
    ) : AttemptDecision

    /** Pass token [tokenIndex] to the caller. */
    data class ForwardToken(
        val tokenIndex: Long,
    ) : AttemptDecision

    /** The response of [attempt] is complete: the caller has it, or it can be passed to the caller. */
    data class CompleteResponse(
        val attempt: AttemptId,
    ) : AttemptDecision

    /** Close the connection of [attempt] without reusing it. */
    data class CloseConnection(
        val attempt: AttemptId,
    ) : AttemptDecision

    /**
     * Report to the router, which decides on a retry, that [attempt] failed. [mayHaveRun] is false only if the attempt
     * certainly did not run; [executionEnded] is true only if the target certainly no longer executes it.
     * [tokensDelivered] counts the tokens that the caller has received.
     */
    data class FailAttempt(
        val attempt: AttemptId,
        val mayHaveRun: Boolean,
        val executionEnded: Boolean,
        val tokensDelivered: Long,
    ) : AttemptDecision
}
