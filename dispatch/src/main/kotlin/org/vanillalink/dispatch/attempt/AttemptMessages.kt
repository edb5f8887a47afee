/*
 * What happens to the attempts of one model request, and what has to be done about it.
 */
package org.vanillalink.dispatch.attempt

import org.vanillalink.model.AttemptId
import org.vanillalink.model.HostId
import org.vanillalink.model.Refusal
import java.time.Duration

/** What happened. The attempt in each event is the one that was sent on the connection that the event comes from. */
sealed interface AttemptEvent {
    /** The request goes to [target] as [attempt]; the answer to [AttemptDecision.StartAttempt] and to the first try. */
    data class AttemptStarted(
        val attempt: AttemptId,
        val target: HostId,
    ) : AttemptEvent

    /** One token; [echoed] is the id in the chunk and [tokenIndex] counts from 0 over the whole answer. */
    data class StreamChunk(
        val attempt: AttemptId,
        val echoed: AttemptId?,
        val tokenIndex: Long,
        val text: String,
    ) : AttemptEvent

    /** The stream ended; [markerSeen] tells whether `[DONE]` came. */
    data class StreamEnded(
        val attempt: AttemptId,
        val markerSeen: Boolean,
    ) : AttemptEvent

    /** An answer that isn't streamed came whole; [echoed] is the attempt in its header. */
    data class WholeAnswer(
        val attempt: AttemptId,
        val echoed: AttemptId?,
    ) : AttemptEvent

    /** The connection couldn't be made, broke, or was given up as silent. */
    data class ConnectionFailed(
        val attempt: AttemptId,
        val bytesMayHaveLeft: Boolean,
    ) : AttemptEvent

    /** The target answered 409 or 503; [provedNotRun] is its `vanillalink-not-run` header. */
    data class TargetRefused(
        val attempt: AttemptId,
        val provedNotRun: AttemptId?,
    ) : AttemptEvent

    /** No other attempt may be made: no target, no retry budget, no permit, or the deadline. */
    data class RetryDenied(
        val retryAfter: Duration?,
    ) : AttemptEvent
}

/** What has to be done. */
sealed interface AttemptDecision {
    /** Give the caller [text], which is token [tokenIndex]. */
    data class ForwardToken(
        val tokenIndex: Long,
        val text: String,
    ) : AttemptDecision

    /** Give the caller the whole answer of [attempt]. */
    data class ForwardAnswer(
        val attempt: AttemptId,
    ) : AttemptDecision

    /** The caller has the whole answer: end its stream with the marker. */
    data object FinishStream : AttemptDecision

    /** Close the connection of [attempt] and never use it again. */
    data class CloseConnection(
        val attempt: AttemptId,
    ) : AttemptDecision

    /** Try again at a target outside [avoid], if the retry budget allows; else feed RetryDenied. */
    data class StartAttempt(
        val resumeFrom: Long,
        val avoid: Set<HostId>,
    ) : AttemptDecision

    /** Give the caller its final answer at once. */
    data class FailRequest(
        val refusal: Refusal,
    ) : AttemptDecision
}
