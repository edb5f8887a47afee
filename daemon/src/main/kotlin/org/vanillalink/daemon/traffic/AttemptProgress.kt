/*
 * The attempts of one call, as its connections show them. All kinds of calls use it to tell whether what arrives is
 * their attempt's answer, and whether that is whole.
 */
package org.vanillalink.daemon.traffic

import org.vanillalink.control.AttemptTarget
import org.vanillalink.dispatch.attempt.AttemptDecision
import org.vanillalink.dispatch.attempt.AttemptEvent
import org.vanillalink.dispatch.attempt.AttemptState
import org.vanillalink.dispatch.attempt.AttemptTracker
import org.vanillalink.model.AttemptId
import org.vanillalink.model.HostId
import org.vanillalink.model.RefusalOutcome
import org.vanillalink.model.RequestId
import org.vanillalink.routing.RouterEvent
import org.vanillalink.targets.TargetProtocol
import org.vanillalink.transport.HeaderFields
import org.vanillalink.transport.OUTCOME_HEADER
import org.vanillalink.transport.TransportFailure
import java.time.Clock
import java.time.Duration

/**
 * Guarded by the lock of the call that owns it. [resumable] says whether an answer that broke off can be gone on with
 * elsewhere; the caller has [tokensBefore] tokens from another daemon.
 */
internal class AttemptProgress(
    private val request: RequestId,
    private val events: CallEvents,
    private val clock: Clock,
    private val resumable: Boolean,
    tokensBefore: Int = 0,
) {
    private val tracker = AttemptTracker()
    private var state = AttemptState(tokensDelivered = tokensBefore.toLong())

    /** The attempt that runs, if any. */
    var running: RunningAttempt? = null
        private set

    /** Whether the caller has a part of an answer that isn't counted in tokens. */
    var partGiven = false

    /** How many tokens the caller, or the collected answer, has. */
    val tokens: Long get() = state.tokensDelivered

    fun begin(
        number: Int,
        target: AttemptTarget?,
    ): RunningAttempt {
        val attempt = RunningAttempt(number, attemptId(request, number), target, clock.instant())
        running = attempt
        handle(AttemptEvent.AttemptStarted(attempt.id))
        return attempt
    }

    /** Takes an answer's head; gives whether it is the attempt's own. */
    fun head(
        attempt: RunningAttempt,
        headers: HeaderFields,
        usable: Boolean,
    ): Boolean {
        attempt.pieceReceived()
        val echoed = headers[TargetProtocol.ATTEMPT_HEADER]?.let(::AttemptId)
        val refused = attempt.target == null && headers[OUTCOME_HEADER] != null
        val event = AttemptEvent.HeadReceived(attempt.id, echoed, notRun(attempt, headers), usable && !refused)
        return handle(event, attempt).any { it is AttemptDecision.AcceptHead }
    }

    /** Takes a token; gives whether it is the next one for the caller. */
    fun token(
        attempt: RunningAttempt,
        echoed: String?,
        index: Long,
    ): Boolean {
        val event = AttemptEvent.StreamChunk(attempt.id, echoed?.let(::AttemptId), index)
        return handle(event, attempt).any { it is AttemptDecision.ForwardToken }
    }

    /** What came can't be part of an answer. */
    fun garbage(attempt: RunningAttempt) {
        handle(AttemptEvent.InvalidDataReceived(attempt.id), attempt)
    }

    /** The stream ended; gives the news for the router where it was whole. */
    fun streamEnded(
        attempt: RunningAttempt,
        markerSeen: Boolean,
    ): RouterEvent.AttemptFinished? =
        finished(attempt, handle(AttemptEvent.StreamEnded(attempt.id, markerSeen), attempt))

    /** An answer that isn't streamed in tokens came whole; gives the news for the router where it counts. */
    fun whole(attempt: RunningAttempt): RouterEvent.AttemptFinished? =
        finished(attempt, handle(AttemptEvent.ResponseCompleted(attempt.id), attempt))

    /** No whole answer will come. */
    fun failed(
        attempt: RunningAttempt,
        failure: TransportFailure,
    ) {
        handle(AttemptEvent.ConnectionFailed(attempt.id, failure.requestMayHaveArrived), attempt)
    }

    /** Fails the running attempt if it runs at [host]. */
    fun endAt(host: HostId) {
        running?.takeIf { it.target?.host == host }?.let(::giveUp)
    }

    /** Fails the running attempt if it is [id]. */
    fun end(id: AttemptId) {
        running?.takeIf { it.id == id }?.let(::giveUp)
    }

    /** Stops the running attempt without news of it; gives where it ran. */
    fun withdraw(): AttemptTarget? {
        val attempt = running ?: return null
        handle(AttemptEvent.AttemptCancelled(attempt.id), attempt)
        running = null
        return attempt.target
    }

    private fun giveUp(attempt: RunningAttempt) {
        handle(AttemptEvent.ConnectionFailed(attempt.id, mayHaveSentBytes = true), attempt)
    }

    private fun handle(
        event: AttemptEvent,
        attempt: RunningAttempt? = running,
    ): List<AttemptDecision> {
        val next = tracker.handle(state, event, clock.instant())
        state = next.state
        next.decisions.forEach { decision ->
            if (decision is AttemptDecision.CloseConnection) attempt?.exchange?.close()
            if (decision is AttemptDecision.FailAttempt && attempt != null) fail(attempt, decision)
        }
        return next.decisions
    }

    private fun fail(
        attempt: RunningAttempt,
        failure: AttemptDecision.FailAttempt,
    ) {
        running = null
        val event =
            RouterEvent.AttemptFailed(
                request = request,
                attempt = attempt.number,
                mayHaveRun = failure.mayHaveRun,
                tokensDelivered = partGiven || failure.tokensDelivered > 0,
                resumable = resumable,
                executionEnded = failure.executionEnded,
            )
        events.attemptFailed(event, attempt.target)
    }

    private fun finished(
        attempt: RunningAttempt,
        decisions: List<AttemptDecision>,
    ): RouterEvent.AttemptFinished? {
        if (decisions.none { it is AttemptDecision.CompleteResponse }) return null
        running = null
        val time = Duration.between(attempt.startedAt, clock.instant())
        return RouterEvent.AttemptFinished(request, attempt.number, time)
    }

    /** The attempt that the answer proves not to have run: a daemon says so for the attempt that it repeats. */
    private fun notRun(
        attempt: RunningAttempt,
        headers: HeaderFields,
    ): AttemptId? {
        if (attempt.target != null) return headers[TargetProtocol.NOT_RUN_HEADER]?.let(::AttemptId)
        val refused = headers[OUTCOME_HEADER] == RefusalOutcome.NOT_RUN.wireName
        return headers[TargetProtocol.ATTEMPT_HEADER]?.takeIf { refused }?.let(::AttemptId)
    }
}
