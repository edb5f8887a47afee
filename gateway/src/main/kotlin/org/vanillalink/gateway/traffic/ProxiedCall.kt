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

import org.vanillalink.gateway.ports.ResponseMetadata
import org.vanillalink.model.HostId
import org.vanillalink.model.Refusal
import org.vanillalink.model.RefusalOutcome
import org.vanillalink.model.RefusalReason
import org.vanillalink.serving.balancing.RequestSignature
import org.vanillalink.serving.balancing.SecondAttempts
import org.vanillalink.serving.balancing.WaitingRequest
import org.vanillalink.serving.targets.GroupKey
import org.vanillalink.transport.HeaderFields
import org.vanillalink.transport.ResponseWriter
import org.vanillalink.transport.RetryAfterPrecision
import org.vanillalink.transport.ScheduledAction
import org.vanillalink.transport.TransportFailure
import org.vanillalink.transport.refuse
import java.time.Duration

private val SUCCESSES = 200..299

/**
 * Returns why a response with [metadata] can't be used for the request [ownId], or null. On a kept connection a
 * response without an id may be that of an earlier request, written once more.
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
    val context: CallContext,
    val request: AdmittedRequest,
    protected val response: ResponseWriter,
) {
    /** The attempts in progress, and the trail of all of them. */
    val attempts = CallAttempts(context, request)

    /** The group of the attempt in progress, or null. */
    val currentGroup: GroupKey? get() = attempts.current?.group

    /** Identifies what the request has in common with others. */
    val signature: RequestSignature get() = request.signature

    /** The target of the attempt in progress, or null. */
    val currentTarget: HostId? get() = attempts.current?.target?.id

    protected var mayHaveRun = false

    /** Whether the caller has its final response, or none is owed any more. */
    var isEnded = false
        private set
    private var timeout: ScheduledAction? = null

    /** The place in the queue while the call waits for room, or null. */
    var waiting: WaitingRequest<ProxiedCall>? = null

    /** How long the call waited, or null if it was not queued. */
    var waitedMilliseconds: Long? = null
    protected val trail: StringBuilder get() = attempts.trail
    protected val evidence: AttemptEvidence get() = attempts.evidence

    /** Why a second attempt is needed by what is predicted for the first event, or null. */
    val lateReason: String?
        get() {
            val attempt = attempts.current ?: return null
            if (attempts.hedge != null || !isAwaitingFirstEvent) return null
            return context.state.groupProgress.findSecondAttemptReason(attempt, request.work.goalAt - now, now)
        }

    /** How long the attempt in progress has taken. */
    protected val attemptMilliseconds: Long get() = now - evidence.startedAt
    protected val now: Long get() = context.now()

    fun startFirstAttempt() {
        context.activeCalls.add(this)
        response.onCallerDisconnected { finish("caller-gone", STATUS_CALLER_DISCONNECTED) }
        if (isEnded) return
        val remaining = Duration.ofMillis(maxOf(0, request.responseDeadline - now))
        timeout = context.schedule(remaining, ::onTimeout)
        context.waitingCalls.start(this)
    }

    /**
     * Continues at another target if there is one, since the group of the attempt in progress is broken. That attempt
     * is not read meanwhile, so that none of its events precede those of the other one, and goes on if that one ends.
     */
    fun failOver(reason: String) {
        hedge(reason)
        if (attempts.hedge != null) attempts.pauseCurrent()
    }

    /**
     * Begins a second attempt at another target if there is one, since the attempt in progress is silent. That one goes
     * on meanwhile: a sound target may be silent for a while. If this [isPredicted] only, the other target must have a
     * free slot, and the budget's part for it must not be used up.
     */
    fun hedge(
        reason: String,
        isPredicted: Boolean = false,
    ) {
        val attempt = attempts.current ?: return
        if (attempts.hedge != null) return
        if (!context.state.groupProgress.isFollowed(attempt)) context.state.avoid(attempt.target.id, now)
        val budgetShare = if (isPredicted) SecondAttempts.BUDGET_SHARE else 1.0
        val mayContinue = canRepeat() && attempts.isRetryAvailable(budgetShare)
        val next = if (mayContinue) attempts.chooseTarget(needsFreeSlot = isPredicted) else null
        if (next == null) {
            if (!isPredicted) attempts.recordSuspicion(attempt, reason)
            return
        }
        trail.append("!$reason")
        if (attempts.reserve()) attempts.startHedge(next, resumeFrom, reason) { AttemptListener(this, it) }
    }

    /** Starts an attempt at the next target; [lastEventId] is the last event of a stream that the caller received. */
    fun startAttempt(
        lastEventId: Long?,
        next: ChosenTarget? = attempts.chooseTarget(),
    ) {
        if (next == null) trail.append('!').append(context.state.describe(request.service, request.metadata.model, now))
        if (next == null || !attempts.reserve()) {
            onNoTarget()
            return
        }
        attempts.startCurrent(next, lastEventId) { AttemptListener(this, it) }
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
            attempt === attempts.hedge && status !in SUCCESSES -> endAttempt(attempt, status.toString())
            attempt === attempts.hedge -> replaceCurrent { onAcceptedHead(status, headers, metadata) }
            else -> onAcceptedHead(status, headers, metadata)
        }
    }

    /** The target of [attempt] reports that it has not executed the request. */
    private fun onRejected(
        attempt: Attempt,
        status: Int,
        metadata: ResponseMetadata,
    ) {
        trail.append("!$status").append(metadata.faultyTarget?.let { "@$it" }.orEmpty())
        context.state.avoid(attempt.target.id, now)
        if (attempt === attempts.hedge) {
            attempts.closeHedge()
            return
        }
        attempts.closeCurrent()
        if (!attempts.promoteHedge()) onNotRun()
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
        if (failure is TransportFailure.MalformedResponse) {
            // A target that writes goes on living: the request has not crashed it.
            endAttempt(attempt, "malformed-answer")
            return
        }
        if (failure.requestMayHaveArrived) {
            attempt.evidence.recordLoss(attempt.target.instance)
            endAttempt(attempt, "connection-lost")
            return
        }
        trail.append("!unconnected")
        attempts.revokeReservation()
        if (attempt === attempts.hedge) {
            attempts.closeHedge()
            return
        }
        attempts.closeCurrent()
        if (!attempts.promoteHedge()) onNotRun()
    }

    /** Ends an attempt whose response ended with its connection before it was complete. */
    protected fun onBrokenOff(reason: String) {
        val attempt = attempts.current ?: return
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

    /** Releases what is held of the response in progress, which is given up; everything that is held after the end. */
    protected abstract fun releaseResponse()

    /**
     * Ends the attempt in progress without a usable response; the request may be executed all the same. The next calls
     * avoid its target if that [isTargetFaulty].
     */
    protected fun failAttempt(
        reason: String,
        isTargetFaulty: Boolean = false,
    ) {
        if (isTargetFaulty) currentTarget?.let { context.state.avoid(it, now) }
        attempts.closeCurrent()
        releaseResponse()
        mayHaveRun = true
        trail.append("!$reason")
        if (!attempts.promoteHedge()) onAttemptFailed()
    }

    /** Ends [attempt] without a usable response. */
    private fun endAttempt(
        attempt: Attempt,
        reason: String,
    ) {
        if (attempt !== attempts.hedge) {
            failAttempt(reason)
            return
        }
        trail.append("!$reason")
        mayHaveRun = true
        attempts.closeHedge()
    }

    /** The hedge's response has begun: it takes the place of the current attempt, which is given up. */
    private fun replaceCurrent(onReplaced: () -> Unit) {
        attempts.closeCurrent()
        mayHaveRun = true
        attempts.promoteHedge()
        onReplaced()
    }

    /** Ends the hedge, since the current attempt goes on. */
    protected fun dropHedge() {
        if (attempts.hedge == null) return
        trail.append("!not-needed")
        mayHaveRun = true
        attempts.closeHedge()
    }

    /** Continues after an attempt whose request was certainly not executed. */
    private fun onNotRun() {
        if (mayAttemptAgain) startAttempt(resumeFrom) else onNoTarget()
    }

    /** Whether the request may be executed again at another target. */
    protected fun canRepeat(): Boolean = request.route.isRepeatable && mayAttemptAgain

    private val mayAttemptAgain: Boolean
        get() =
            now < request.responseDeadline &&
                attempts.count < request.route.maxAttempts &&
                context.state.poisonDetector.findBlock(signature, now) == null

    /** The last event that the caller has of a stream, or null. */
    protected open val resumeFrom: Long? get() = null

    /** Whether the caller waits for the first event of a stream. */
    protected open val isAwaitingFirstEvent: Boolean get() = false

    /** The timing of a streamed response so far, or null for a buffered one. */
    protected open val timing: StreamTiming? get() = null

    /** Called when no target can take the request now. */
    open fun onNoTarget() {
        if (mayHaveRun) {
            refuse(RefusalReason.TARGET_FAILED, "no other target could be tried")
        } else {
            refuse(RefusalReason.NO_SERVING_TARGET, "no target has room")
        }
    }

    /** Sends a refusal by this daemon as the final response. */
    fun refuse(
        reason: RefusalReason,
        detail: String,
    ) {
        if (isEnded) return
        val outcome = if (mayHaveRun) RefusalOutcome.UNKNOWN else RefusalOutcome.NOT_RUN
        val targetDelay = context.state.retryAfterMilliseconds(request.service, request.metadata.model, now)
        val retryAfter =
            if (outcome == RefusalOutcome.NOT_RUN) {
                request.retryAfter(now, targetDelay ?: context.waitingCalls.retryAfter(request))
            } else {
                null
            }
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
        if (isEnded) return
        context.waitingCalls.remove(this)
        val lastAttemptMilliseconds = currentTarget?.let { attemptMilliseconds }
        attempts.closeCurrent()
        attempts.closeHedge()
        isEnded = true
        releaseResponse()
        timeout?.cancel()
        context.activeCalls.remove(this)
        context.requestLogger.logCompleted(
            request,
            CallResult(
                outcome,
                status,
                trail.toString(),
                attempts.count,
                timing,
                lastAttemptMilliseconds,
                waitedMilliseconds,
            ),
            now,
        )
    }

    protected open fun onTimeout() {
        if (isEnded) return
        val wasSent = currentTarget != null || mayHaveRun
        mayHaveRun = wasSent
        if (wasSent) {
            refuse(RefusalReason.DEADLINE_EXCEEDED, "no answer within the route's time")
        } else {
            refuse(RefusalReason.OVERLOADED, "no target within the route's time")
        }
    }

    companion object {
        /** Only used in logs, by the convention of web servers for disconnected callers. */
        private const val STATUS_CALLER_DISCONNECTED = 499
    }
}
