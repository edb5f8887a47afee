/*
 * One caller's request from its admission through attempts at one or more targets to its single final response.
 *
 * What is allowed depends on whether the request may have been executed: a request that is not repeatable is not sent
 * again once a byte of it may have reached a target, and `not-run` is only reported where no target can have it.
 *
 * A suspicion against a target, such as its silence, never ends an attempt by itself: a second attempt may begin beside
 * it, and the one whose response goes on first is kept.
 */
package org.vanillalink.gateway.traffic

import org.vanillalink.gateway.ports.ForwardingMetadata
import org.vanillalink.gateway.ports.ResponseMetadata
import org.vanillalink.model.HostId
import org.vanillalink.model.Refusal
import org.vanillalink.model.RefusalOutcome
import org.vanillalink.model.RefusalReason
import org.vanillalink.serving.balancing.RequestSignature
import org.vanillalink.serving.targets.GroupKey
import org.vanillalink.transport.HeaderFields
import org.vanillalink.transport.ResponseWriter
import org.vanillalink.transport.RetryAfterPrecision
import org.vanillalink.transport.ScheduledAction
import org.vanillalink.transport.SendOptions
import org.vanillalink.transport.TransportFailure
import org.vanillalink.transport.refuse
import java.time.Duration

private val SUCCESSES = 200..299

/**
 * Returns why a response with [metadata] can't be used for the request [ownId], or null. On a kept connection a response
 * without an id may be that of an earlier request, written once more.
 */
private fun findFault(
    status: Int,
    metadata: ResponseMetadata,
    ownId: String?,
    isOnKeptConnection: Boolean,
): String? = when {
    ownId != null && metadata.requestId != null && metadata.requestId != ownId -> "crossed-answer"
    ownId != null && metadata.requestId == null && status in SUCCESSES -> "answer-without-id"
    ownId != null && metadata.requestId == null && isOnKeptConnection -> "refusal-without-id"
    metadata.isNotRun -> null
    metadata.isEncoded -> "encoded-answer"
    status in SUCCESSES && !metadata.isSigned -> "unsigned-answer"
    else -> null
}

/** Drives [request] to its final response. */
internal abstract class ProxiedCall(
    protected val context: CallContext,
    protected val request: AdmittedRequest,
    protected val response: ResponseWriter,
) {
    private var current: Attempt? = null

    /**
     * A second attempt, begun since the current one gives no sign of life. It replaces the current one when its
     * response begins, and ends when the current one goes on.
     */
    private var hedge: Attempt? = null

    /** The group of the attempt in progress, or null. */
    val currentGroup: GroupKey? get() = current?.group

    /** Identifies what the request has in common with others. */
    val signature: RequestSignature get() = request.signature

    /** The target of the attempt in progress, or null. */
    val currentTarget: HostId? get() = current?.target?.id

    protected var attempts = 0
        private set
    protected var mayHaveRun = false
    private var sentAttempts = 0
    private var hasEnded = false
    private val triedTargets = HashSet<HostId>()

    /** What the attempt in progress shows, or the last one. */
    protected var evidence = AttemptEvidence(context, request, now)
        private set
    private var timeout: ScheduledAction? = null
    protected val trail = StringBuilder()

    /** How long the attempt in progress has taken. */
    protected val attemptMilliseconds: Long get() = now - evidence.startedAt
    protected val isEnded: Boolean get() = hasEnded
    protected val now: Long get() = context.now()

    fun startFirstAttempt() {
        context.activeCalls.add(this)
        response.onCallerDisconnected { finish("caller-gone", STATUS_CALLER_DISCONNECTED) }
        if (hasEnded) return
        val remaining = Duration.ofMillis(maxOf(0, request.responseDeadline - now))
        timeout = context.schedule(remaining, ::onTimeout)
        startAttempt(null)
    }

    /**
     * Continues at another target, since the group of the attempt in progress is broken. Without another target the
     * attempt goes on, and ends with its group at the latest.
     */
    fun failOver(reason: String) {
        val attempt = current ?: return
        context.state.avoid(attempt.target.id, now)
        if (hedge == null && !canContinueElsewhere()) {
            recordSuspicion(attempt, reason)
            return
        }
        failAttempt(reason)
    }

    /**
     * Begins a second attempt at another target if there is one, since the attempt in progress is silent. That one goes
     * on meanwhile: a sound target may be silent for a while.
     */
    fun hedge(reason: String) {
        val attempt = current ?: return
        if (hedge != null) return
        context.state.avoid(attempt.target.id, now)
        if (!canContinueElsewhere()) {
            recordSuspicion(attempt, reason)
            return
        }
        trail.append("!$reason")
        val next = chooseTarget() ?: return
        if (!reserveAttempt()) return
        val second = createAttempt(next)
        hedge = second
        transmit(second, resumeFrom())
    }

    private fun recordSuspicion(
        attempt: Attempt,
        reason: String,
    ) {
        if (!attempt.isSuspected) trail.append("?$reason")
        attempt.isSuspected = true
    }

    private fun canContinueElsewhere(): Boolean =
        canRepeat() && context.state.hasRetry(request.service.name, now) && chooseTarget() != null

    private fun chooseTarget(): ChosenTarget? =
        context.state.chooseTarget(request.service, request.metadata.model, triedTargets, now)

    /** Starts an attempt at the next target; [lastEventId] is the last event of a stream that the caller received. */
    protected fun startAttempt(lastEventId: Long?) {
        val next = chooseTarget()
        if (next == null) trail.append('!').append(context.state.describe(request.service, request.metadata.model, now))
        if (next == null || !reserveAttempt()) {
            onNoTarget()
            return
        }
        val attempt = createAttempt(next)
        makeCurrent(attempt)
        transmit(attempt, lastEventId)
    }

    private fun createAttempt(chosen: ChosenTarget): Attempt {
        val entry = chosen.entry
        triedTargets.add(entry.id)
        context.state.recordSent(entry, now)
        val label = chosen.group?.key?.group ?: entry.id.value
        trail.append(if (trail.isEmpty()) "" else ",").append("$label/${chosen.inFlight}of${chosen.candidates}")
        return Attempt(entry, chosen.group?.key, AttemptEvidence(context, request, now))
    }

    private fun makeCurrent(attempt: Attempt) {
        current = attempt
        evidence = attempt.evidence
    }

    private fun transmit(
        attempt: Attempt,
        lastEventId: Long?,
    ) {
        val remaining = maxOf(1, request.callerDeadline - now)
        val eventId = lastEventId ?: request.metadata.lastEventId
        val metadata = ForwardingMetadata(attempt.target, request.workspace?.id, remaining, eventId)
        val options = SendOptions(responseTimeout = Duration.ofMillis(remaining + RESPONSE_TIMEOUT_MARGIN_MILLISECONDS))
        attempt.exchange =
            context.http.send(
                attempt.target.endpoint,
                context.protocol.buildForwardedRequest(request.message, metadata),
                options,
                AttemptListener(this, attempt),
            )
    }

    /** Counts the attempt; each one after the first that is sent to a target is taken from the shared retry budget. */
    private fun reserveAttempt(): Boolean {
        val isFirst = sentAttempts == 0
        if (!isFirst && !context.state.takeRetry(request.service.name, now)) {
            trail.append("!retry-budget")
            return false
        }
        attempts += 1
        sentAttempts += 1
        return true
    }

    /** Whether [attempt] is in progress, as the current one or as the hedge. */
    fun isInProgress(attempt: Attempt): Boolean = !hasEnded && (attempt === current || attempt === hedge)

    /** Records that bytes of the response to [attempt] were received. */
    fun recordProgress(attempt: Attempt) {
        context.state.stallDetector.recordProgress(
            attempt.target.id,
            now,
            isFirst = !attempt.evidence.hasResponseBegun,
        )
        attempt.evidence.recordRead()
    }

    /** Checks that the response to [attempt] belongs to this request before any of it is used. */
    fun onHead(
        attempt: Attempt,
        status: Int,
        headers: HeaderFields,
    ) {
        val metadata = context.protocol.readResponse(status, headers)
        // The target's announcements about itself apply even if its response is discarded.
        context.state.recordMetadata(attempt.target, metadata, now)
        val instance = attempt.target.instance
        if (status in SUCCESSES && metadata.isSigned) attempt.evidence.recordSuccess(instance)
        val isOnKeptConnection = attempt.exchange?.isOnKeptConnection == true
        val fault = findFault(status, metadata, request.metadata.requestId, isOnKeptConnection)
        context.state.limitedTargets.recordResponse(instance, metadata, fault == null, attempt.evidence.startedAt, now)
        when {
            fault != null -> endAttempt(attempt, fault)
            metadata.isNotRun -> onRejected(attempt, status, metadata)
            attempt === hedge && status !in SUCCESSES -> endAttempt(attempt, status.toString())
            else -> acceptHead(attempt, status, headers, metadata)
        }
    }

    private fun acceptHead(
        attempt: Attempt,
        status: Int,
        headers: HeaderFields,
        metadata: ResponseMetadata,
    ) {
        if (attempt === hedge) replaceCurrent()
        onAcceptedHead(status, headers, metadata)
    }

    /** The target of [attempt] reports that it has not executed the request. */
    private fun onRejected(
        attempt: Attempt,
        status: Int,
        metadata: ResponseMetadata,
    ) {
        trail.append("!$status").append(metadata.faultyTarget?.let { "@$it" }.orEmpty())
        context.state.avoid(attempt.target.id, now)
        when {
            attempt === hedge -> {
                closeHedge()
            }

            else -> {
                closeCurrent()
                if (!continueWithHedge()) onNotRun()
            }
        }
    }

    /** Passes on a part of the body of the response to [attempt]; only the current one gets so far. */
    fun onBody(
        attempt: Attempt,
        bytes: ByteArray,
    ) {
        if (attempt === current) onBodyChunk(bytes)
    }

    /** The response to [attempt] is complete. */
    fun onEnd(attempt: Attempt) {
        if (attempt === current) onComplete()
    }

    abstract fun onAcceptedHead(
        status: Int,
        headers: HeaderFields,
        metadata: ResponseMetadata,
    )

    abstract fun onBodyChunk(bytes: ByteArray)

    abstract fun onComplete()

    /** Called when the last attempt has ended without a usable response. */
    abstract fun onAttemptFailed()

    /** Called when the connection of [attempt] fails. */
    fun onFailure(
        attempt: Attempt,
        failure: TransportFailure,
    ) {
        context.state.avoid(attempt.target.id, now)
        if (failure.requestMayHaveArrived) {
            attempt.evidence.recordLoss(attempt.target.instance)
            endAttempt(attempt, "connection-lost")
            return
        }
        trail.append("!unconnected")
        uncountAttempt()
        if (attempt === hedge) {
            closeHedge()
            return
        }
        closeCurrent()
        if (!continueWithHedge()) onNotRun()
    }

    /** Ends an attempt whose response ended with its connection before it was complete. */
    protected fun onBrokenOff(reason: String) {
        val attempt = current ?: return
        context.state.avoid(attempt.target.id, now)
        attempt.evidence.recordLoss(attempt.target.instance)
        failAttempt(reason)
    }

    /** Ends the call unless its target has begun to answer: by then the request has not crashed it. */
    fun stopBlocked() {
        if (evidence.hasAnswered) return
        trail.append("!blocked")
        mayHaveRun = true
        onNoTarget()
    }

    /** Ends the attempt in progress without a usable response; the request may be executed all the same. */
    protected fun failAttempt(reason: String) {
        closeCurrent()
        mayHaveRun = true
        trail.append("!$reason")
        if (!continueWithHedge()) onAttemptFailed()
    }

    /** Ends [attempt] without a usable response. */
    private fun endAttempt(
        attempt: Attempt,
        reason: String,
    ) {
        if (attempt !== hedge) {
            failAttempt(reason)
            return
        }
        trail.append("!$reason")
        mayHaveRun = true
        closeHedge()
    }

    /** The hedge's response has begun: it takes the place of the current attempt, which is given up. */
    private fun replaceCurrent() {
        closeCurrent()
        mayHaveRun = true
        continueWithHedge()
    }

    /** Waits for the response of the hedge if there is one, after the current attempt has ended. */
    protected fun continueWithHedge(): Boolean {
        val next = hedge ?: return false
        makeCurrent(next)
        hedge = null
        return true
    }

    /** Ends the hedge, since the current attempt goes on. */
    protected fun dropHedge() {
        if (hedge == null) return
        trail.append("!not-needed")
        mayHaveRun = true
        closeHedge()
    }

    /** Continues after an attempt whose request was certainly not executed. */
    private fun onNotRun() {
        if (mayAttemptAgain) startAttempt(resumeFrom()) else onNoTarget()
    }

    private fun uncountAttempt() {
        attempts -= 1
        sentAttempts -= 1
    }

    /** Whether the request may be executed again at another target. */
    protected fun canRepeat(): Boolean = request.route.isRepeatable && mayAttemptAgain

    private val mayAttemptAgain: Boolean
        get() =
            now < request.responseDeadline &&
                attempts < request.route.maxAttempts &&
                context.state.poisonDetector.findBlock(signature, now) == null

    protected open fun resumeFrom(): Long? = null

    /** The timing of a streamed response so far, or null for a buffered one. */
    protected open val timing: StreamTiming? get() = null

    /** Called when no target can take the request now. */
    protected open fun onNoTarget() {
        if (mayHaveRun) {
            refuse(RefusalReason.TARGET_FAILED, "no other target could be tried")
        } else {
            refuse(RefusalReason.NO_SERVING_TARGET, "no target has room")
        }
    }

    /** Sends a refusal by this daemon as the final response. */
    protected fun refuse(
        reason: RefusalReason,
        detail: String,
    ) {
        if (hasEnded) return
        val outcome = if (mayHaveRun) RefusalOutcome.UNKNOWN else RefusalOutcome.NOT_RUN
        val retryMilliseconds = context.state.retryAfterMilliseconds(request.service, request.metadata.model, now)
        val retryAfter = if (outcome == RefusalOutcome.NOT_RUN) request.retryAfter(now, retryMilliseconds) else null
        finish(reason.problemType, reason.status)
        response.refuse(
            Refusal(reason, outcome, detail, retryAfter),
            request.metadata.requestId,
            RetryAfterPrecision.TENTHS,
        )
    }

    /** Ends the call and logs it with [outcome]. */
    protected fun finish(
        outcome: String,
        status: Int,
    ) {
        if (hasEnded) return
        val lastAttemptMilliseconds = currentTarget?.let { attemptMilliseconds }
        closeCurrent()
        closeHedge()
        hasEnded = true
        timeout?.cancel()
        context.activeCalls.remove(this)
        context.requestLogger.logCompleted(
            request,
            CallResult(outcome, status, trail.toString(), attempts, timing, lastAttemptMilliseconds),
            now,
        )
    }

    /** Ends the attempt in progress, whose response is complete. */
    protected fun releaseTarget() {
        current?.let(::countEnd)
        current = null
    }

    /** Ends [attempt] in the counts of its target. */
    private fun countEnd(attempt: Attempt) =
        context.state.recordEnded(attempt.target.id, attempt.evidence.hasResponseBegun)

    private fun closeCurrent() {
        current?.let(::close)
        current = null
    }

    private fun closeHedge() {
        hedge?.let(::close)
        hedge = null
    }

    private fun close(attempt: Attempt) {
        countEnd(attempt)
        attempt.exchange?.close()
    }

    protected open fun onTimeout() {
        if (hasEnded) return
        val wasSent = currentTarget != null || mayHaveRun
        mayHaveRun = wasSent
        if (wasSent) {
            refuse(RefusalReason.DEADLINE_EXCEEDED, "no answer within the route's time")
        } else {
            refuse(RefusalReason.OVERLOADED, "no target within the route's time")
        }
    }

    companion object {
        /** Added so that the call's own timeout ends the attempt first. */
        private const val RESPONSE_TIMEOUT_MARGIN_MILLISECONDS = 500L

        /** Only used in logs, by the convention of web servers for disconnected callers. */
        private const val STATUS_CALLER_DISCONNECTED = 499
    }
}
