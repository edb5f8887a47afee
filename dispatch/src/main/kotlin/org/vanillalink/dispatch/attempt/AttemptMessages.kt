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
     * The answer's head came. [echoed] is the attempt in its header and [provedNotRun] the one that it says never ran;
     * [usable] tells whether the status is one that can come with an answer.
     */
    data class HeadReceived(
        val attempt: AttemptId,
        val echoed: AttemptId?,
        val provedNotRun: AttemptId?,
        val usable: Boolean,
    ) : AttemptEvent

    /** One token; [echoed] is the id in the chunk and [tokenIndex] counts from 0 over the whole answer. */
    data class StreamChunk(
        val attempt: AttemptId,
        val echoed: AttemptId?,
        val tokenIndex: Long,
    ) : AttemptEvent

    /** What came is no part of any answer, or more than is taken. */
    data class GarbageReceived(
        val attempt: AttemptId,
    ) : AttemptEvent

    /** The stream ended; [markerSeen] tells whether `[DONE]` came. */
    data class StreamEnded(
        val attempt: AttemptId,
        val markerSeen: Boolean,
    ) : AttemptEvent

    /** An answer that isn't streamed in tokens came whole. */
    data class WholeAnswer(
        val attempt: AttemptId,
    ) : AttemptEvent

    /** The connection couldn't be made, broke, or was given up as silent. */
    data class ConnectionFailed(
        val attempt: AttemptId,
        val bytesMayHaveLeft: Boolean,
    ) : AttemptEvent

    /** Nobody waits for the attempt any more. */
    data class AttemptWithdrawn(
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
    data class FinishAnswer(
        val attempt: AttemptId,
    ) : AttemptDecision

    /** Close the connection of [attempt] and never use it again. */
    data class CloseConnection(
        val attempt: AttemptId,
    ) : AttemptDecision

    /**
     * Tell the router, which decides on another try, that [attempt] failed. [mayHaveRun] is false only where that is
     * certain; [workEnded] tells whether the target certainly no longer works on it; the caller has [tokensGiven].
     */
    data class FailAttempt(
        val attempt: AttemptId,
        val mayHaveRun: Boolean,
        val workEnded: Boolean,
        val tokensGiven: Long,
    ) : AttemptDecision
}
