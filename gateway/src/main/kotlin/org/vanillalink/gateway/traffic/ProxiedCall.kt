/*
 * One caller's request from its admission through attempts at one or more targets to its single final response.
 *
 * What is allowed depends on whether the request may have been executed: a request that is not repeatable is not sent
 * again once a byte of it may have reached a target, and `not-run` is only reported where no target can have it.
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
import org.vanillalink.serving.targets.TargetEntry
import org.vanillalink.transport.HeaderFields
import org.vanillalink.transport.OutgoingExchange
import org.vanillalink.transport.ResponseWriter
import org.vanillalink.transport.RetryAfterPrecision
import org.vanillalink.transport.ScheduledAction
import org.vanillalink.transport.SendOptions
import org.vanillalink.transport.TransportFailure
import org.vanillalink.transport.refuse
import java.time.Duration

private val SUCCESSES = 200..299

/** Returns why a response with [metadata] can't be passed on for the request [ownId], or null. */
private fun findFault(
    status: Int,
    metadata: ResponseMetadata,
    ownId: String?,
): String? = when {
    ownId != null && metadata.requestId != null && metadata.requestId != ownId -> "crossed-answer"
    ownId != null && metadata.requestId == null && status in SUCCESSES -> "answer-without-id"
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
    /** The group of the attempt in progress, or null. */
    var currentGroup: GroupKey? = null
        private set

    private var currentTargetEntry: TargetEntry? = null

    /** Identifies what the request has in common with others. */
    val signature: RequestSignature get() = request.signature

    /** The target of the attempt in progress, or null. */
    val currentTarget: HostId? get() = currentTargetEntry?.id

    protected var attempts = 0
        private set
    protected var mayHaveRun = false
    private var sentAttempts = 0
    private var hasEnded = false
    private val triedTargets = HashSet<HostId>()
    private var exchange: OutgoingExchange? = null
    private var currentAttemptId = 0

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

    /** Ends the attempt in progress, since its group will not respond, and continues at another one if possible. */
    fun failOver(reason: String) {
        val target = currentTarget ?: return
        context.state.avoid(target, now)
        closeExchange()
        onAttemptFailed(reason)
    }

    /** Starts an attempt at the next target; [lastEventId] is the last event of a stream that the caller received. */
    protected fun startAttempt(lastEventId: Long?) {
        val next = context.state.chooseTarget(request.service, request.metadata.model, triedTargets, now)
        if (next == null) trail.append('!').append(context.state.describe(request.service, request.metadata.model, now))
        if (next == null || !reserveAttempt()) {
            onNoTarget()
            return
        }
        val entry = next.entry
        triedTargets.add(entry.id)
        currentTargetEntry = entry
        currentGroup = next.group?.key
        context.state.recordSent(entry, now)
        val label = next.group?.key?.group ?: entry.id.value
        trail.append(if (trail.isEmpty()) "" else ",").append("$label/${next.inFlight}of${next.candidates}")
        val remaining = maxOf(1, request.callerDeadline - now)
        val metadata =
            ForwardingMetadata(entry, request.workspace?.id, remaining, lastEventId ?: request.metadata.lastEventId)
        val options = SendOptions(responseTimeout = Duration.ofMillis(remaining + RESPONSE_TIMEOUT_MARGIN_MILLISECONDS))
        currentAttemptId += 1
        evidence = AttemptEvidence(context, request, now)
        val listener = AttemptListener(this, currentAttemptId)
        exchange =
            context.http.send(
                entry.endpoint,
                context.protocol.buildForwardedRequest(request.message, metadata),
                options,
                listener,
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

    /** Whether [attemptId] is the attempt in progress. */
    fun isCurrentAttempt(attemptId: Int): Boolean = !hasEnded && attemptId == currentAttemptId && currentTarget != null

    /** Records that bytes of the response were received. */
    fun recordProgress() {
        currentTarget?.let { context.state.stallDetector.recordProgress(it, now, isFirst = !evidence.hasResponseBegun) }
        evidence.recordRead()
    }

    /** Checks that the response belongs to this request before any of it is used. */
    fun onHead(
        status: Int,
        headers: HeaderFields,
    ) {
        val metadata = context.protocol.readResponse(status, headers)
        // The target's announcements about itself apply even if its response is discarded.
        currentTargetEntry?.let { context.state.recordMetadata(it, metadata, now) }
        if (status in SUCCESSES && metadata.isSigned) currentTargetEntry?.let { evidence.recordSuccess(it.instance) }
        val fault = findFault(status, metadata, request.metadata.requestId)
        currentTargetEntry?.instance?.let {
            context.state.limitedTargets.recordResponse(it, metadata, fault == null, evidence.startedAt, now)
        }
        when {
            fault != null -> {
                failAttempt(fault)
            }

            metadata.isNotRun -> {
                trail.append("!$status").append(metadata.faultyTarget?.let { "@$it" }.orEmpty())
                currentTarget?.let { context.state.avoid(it, now) }
                closeExchange()
                onNotRun()
            }

            else -> {
                onAcceptedHead(status, headers, metadata)
            }
        }
    }

    abstract fun onAcceptedHead(
        status: Int,
        headers: HeaderFields,
        metadata: ResponseMetadata,
    )

    abstract fun onBodyChunk(bytes: ByteArray)

    abstract fun onComplete()

    /** Called when the attempt in progress ends without a usable response. */
    abstract fun onAttemptFailed(reason: String)

    /** Called when the connection fails. */
    fun onFailure(failure: TransportFailure) {
        val entry = currentTargetEntry ?: return
        val target = entry.id
        releaseTarget()
        context.state.avoid(target, now)
        if (!failure.requestMayHaveArrived) {
            trail.append("!unconnected")
            onNotRun(countsAsAttempt = false)
            return
        }
        evidence.recordLoss(entry.instance)
        onAttemptFailed("connection-lost")
    }

    /** Ends an attempt whose response ended with its connection before it was complete. */
    protected fun onBrokenOff(reason: String) {
        val entry = currentTargetEntry ?: return
        releaseTarget()
        context.state.avoid(entry.id, now)
        evidence.recordLoss(entry.instance)
        onAttemptFailed(reason)
    }

    /** Ends the call unless its target has begun to answer: by then the request has not crashed it. */
    fun stopBlocked() {
        if (evidence.hasAnswered) return
        trail.append("!blocked")
        mayHaveRun = true
        onNoTarget()
    }

    /** Drops a connection whose response can't be trusted; the request may be executed all the same. */
    protected fun failAttempt(reason: String) {
        closeExchange()
        onAttemptFailed(reason)
    }

    /** Continues after an attempt whose request was certainly not executed. */
    protected fun onNotRun(countsAsAttempt: Boolean = true) {
        if (!countsAsAttempt) {
            attempts -= 1
            sentAttempts -= 1
        }
        if (mayAttemptAgain) startAttempt(resumeFrom()) else onNoTarget()
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
        closeExchange()
        hasEnded = true
        timeout?.cancel()
        context.activeCalls.remove(this)
        context.requestLogger.logCompleted(
            request,
            CallResult(outcome, status, trail.toString(), attempts, timing, lastAttemptMilliseconds),
            now,
        )
    }

    /** Ends the attempt in progress in the counts of its target. */
    protected fun releaseTarget() {
        currentTarget?.let { context.state.recordEnded(it, evidence.hasResponseBegun) }
        currentTargetEntry = null
        currentGroup = null
        exchange = null
    }

    protected fun closeExchange() {
        val open = exchange
        releaseTarget()
        open?.close()
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
