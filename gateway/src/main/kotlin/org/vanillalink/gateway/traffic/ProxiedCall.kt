/*
 * One caller's request on its way through the daemon, over one or more targets, until its one final answer.
 *
 * Whether a request may have run decides what may be said and done: nothing that isn't repeatable is sent again once a
 * byte of it may have arrived somewhere, and `not-run` is only said where no target can have it.
 */
package org.vanillalink.gateway.traffic

import org.vanillalink.gateway.ports.AnswerMarks
import org.vanillalink.gateway.ports.ForwardMarks
import org.vanillalink.model.HostId
import org.vanillalink.model.Refusal
import org.vanillalink.model.RefusalOutcome
import org.vanillalink.model.RefusalReason
import org.vanillalink.serving.balancing.Strike
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

/** Carries [request] to its answer. */
internal abstract class ProxiedCall(
    protected val context: TrafficContext,
    protected val request: AdmittedRequest,
    protected val answer: ResponseWriter,
) {
    /** The group that the request is at now. */
    var currentGroup: GroupKey? = null
        private set

    private var currentEntry: TargetEntry? = null

    /** The target that the request is at now. */
    val currentTarget: HostId? get() = currentEntry?.id

    protected var attempts = 0
        private set
    protected var mayHaveRun = false
    private var sent = 0
    private var ended = false
    private val tried = HashSet<HostId>()
    private var exchange: OutgoingExchange? = null
    private var generation = 0
    private var attemptBeganAt = 0L
    private var hasAttemptMoved = false
    private var timeout: ScheduledAction? = null
    protected val trail = StringBuilder()

    /** How long the attempt under way has taken. */
    protected val attemptMilliseconds: Long get() = now - attemptBeganAt
    protected val isEnded: Boolean get() = ended
    protected val now: Long get() = context.now()

    /** Begins the first attempt. */
    fun begin() {
        context.active.add(this)
        answer.onCallerDisconnected(::callerGone)
        if (ended) return
        val left = Duration.ofMillis(maxOf(0, request.answerBy - now))
        timeout = context.schedule(left, ::timedOut)
        attempt(null)
    }

    /** The group that has this request won't answer. */
    fun groupBroken(reason: String) {
        val target = currentTarget ?: return
        context.state.avoid(target, now)
        dropExchange()
        attemptLost(reason)
    }

    /** Tries the next target; [lastEventId] is what the caller has of a stream. */
    protected fun attempt(lastEventId: Long?) {
        val chosen = context.state.choose(request.service, request.marks.model, tried, now)
        if (chosen == null) trail.append('!').append(context.state.describe(request.service, request.marks.model, now))
        if (chosen == null || !takeAttempt()) {
            noTarget()
            return
        }
        val entry = chosen.entry
        tried.add(entry.id)
        currentEntry = entry
        currentGroup = chosen.group?.key
        context.state.begun(entry, now)
        val place = chosen.group?.key?.group ?: entry.id.value
        trail.append(if (trail.isEmpty()) "" else ",").append("$place/${chosen.inFlight}of${chosen.candidates}")
        val left = maxOf(1, request.callerDeadline - now)
        val marks = ForwardMarks(entry, request.workspace?.id, left, lastEventId ?: request.marks.lastEventId)
        val options = SendOptions(responseTimeout = Duration.ofMillis(left + ANSWER_SLACK_MILLISECONDS))
        generation += 1
        attemptBeganAt = now
        hasAttemptMoved = false
        val listener = AttemptListener(this, generation)
        exchange =
            context.http.send(entry.endpoint, context.protocol.forward(request.message, marks), options, listener)
    }

    /** Counts the attempt; every arrival at a target beyond a request's first comes out of the shared budget. */
    private fun takeAttempt(): Boolean {
        val isFirst = sent == 0
        if (!isFirst && !context.state.takeRetry(request.service.name, now)) {
            trail.append("!retry-budget")
            return false
        }
        attempts += 1
        sent += 1
        return true
    }

    /** Whether [listenerGeneration] belongs to the attempt under way. */
    fun isCurrent(listenerGeneration: Int): Boolean =
        !ended && listenerGeneration == generation && currentTarget != null

    /** Bytes of the answer have come. */
    fun moved() {
        currentTarget?.let { context.state.stalls.recordProgress(it, now, isFirst = !hasAttemptMoved) }
        hasAttemptMoved = true
    }

    /** Checks that the answer is this request's own before anything is made of it. */
    fun headArrived(
        status: Int,
        headers: HeaderFields,
    ) {
        val marks = context.protocol.interpret(status, headers)
        // What a target says of itself holds whatever becomes of its answer.
        currentEntry?.let { context.state.noticed(it, marks, now) }
        val own = request.marks.requestId
        when {
            own != null && marks.requestId != null && marks.requestId != own -> crossed("crossed-answer")
            own != null && marks.requestId == null && status in SUCCESS -> crossed("answer-without-id")
            marks.isNotRun -> rejected(status, marks)
            marks.isEncoded -> crossed("encoded-answer")
            status in SUCCESS && !marks.isSigned -> crossed("unsigned-answer")
            else -> head(status, headers, marks)
        }
    }

    private fun rejected(
        status: Int,
        marks: AnswerMarks,
    ) {
        val target = currentTarget ?: return
        trail.append("!$status").append(marks.faultyTarget?.let { "@$it" }.orEmpty())
        context.state.avoid(target, now)
        dropExchange()
        notRun()
    }

    abstract fun head(
        status: Int,
        headers: HeaderFields,
        marks: AnswerMarks,
    )

    abstract fun piece(bytes: ByteArray)

    abstract fun whole()

    /** The attempt under way ended without a usable answer. */
    abstract fun attemptLost(reason: String)

    /** The connection failed. */
    fun failed(failure: TransportFailure) {
        val target = currentTarget ?: return
        releaseTarget()
        context.state.avoid(target, now)
        if (!failure.requestMayHaveArrived) {
            trail.append("!unconnected")
            notRun(countsAsTry = false)
            return
        }
        context.state.failures.recordLocalStrike(Strike(request.fingerprint, target), now)
        attemptLost("connection-lost")
    }

    /** An answer for another request came: the connection can't be trusted, and the request may run. */
    protected fun crossed(reason: String) {
        dropExchange()
        attemptLost(reason)
    }

    /** The target has proved that it did not run the request. */
    protected fun notRun(countsAsTry: Boolean = true) {
        if (!countsAsTry) {
            attempts -= 1
            sent -= 1
        }
        val mayTry = now < request.answerBy && attempts < request.route.maxAttempts
        if (mayTry) attempt(resumeFrom()) else noTarget()
    }

    /** Whether the request may run once more at another target. */
    protected fun mayRepeat(): Boolean =
        request.route.isRepeatable && now < request.answerBy && attempts < request.route.maxAttempts

    protected open fun resumeFrom(): Long? = null

    /** How an answer in pieces has gone so far, or null where it comes as one. */
    protected open val pace: StreamPace? get() = null

    /** No target can take the request now. */
    protected open fun noTarget() {
        if (mayHaveRun) {
            refuse(RefusalReason.TARGET_FAILED, "no other target could be tried")
        } else {
            refuse(RefusalReason.NO_SERVING_TARGET, "no target has room")
        }
    }

    /** Gives the final answer that this daemon makes itself. */
    protected fun refuse(
        reason: RefusalReason,
        detail: String,
    ) {
        if (ended) return
        val outcome = if (mayHaveRun) RefusalOutcome.UNKNOWN else RefusalOutcome.NOT_RUN
        val restLeft = context.state.restLeft(request.service, request.marks.model, now)
        val retryAfter = if (outcome == RefusalOutcome.NOT_RUN) request.retryAfter(now, restLeft) else null
        finish(reason.problemType, reason.status)
        answer.refuse(Refusal(reason, outcome, detail, retryAfter), request.marks.requestId, RetryAfterPrecision.TENTHS)
    }

    /** Ends the call; [outcome] goes into the log. */
    protected fun finish(
        outcome: String,
        status: Int,
    ) {
        if (ended) return
        val atTarget = currentTarget?.let { attemptMilliseconds }
        dropExchange()
        ended = true
        timeout?.cancel()
        context.active.remove(this)
        context.log.ended(request, CallEnd(outcome, status, trail.toString(), attempts, pace, atTarget), now)
    }

    /** The attempt's answer has come whole; its target is free again. */
    protected fun releaseTarget() {
        currentTarget?.let { context.state.ended(it, hasAttemptMoved) }
        currentEntry = null
        currentGroup = null
        exchange = null
    }

    protected fun dropExchange() {
        val open = exchange
        releaseTarget()
        open?.close()
    }

    protected open fun timedOut() {
        if (ended) return
        val sent = currentTarget != null || mayHaveRun
        mayHaveRun = sent
        if (sent) {
            refuse(RefusalReason.DEADLINE_EXCEEDED, "no answer within the route's time")
        } else {
            refuse(RefusalReason.OVERLOADED, "no target within the route's time")
        }
    }

    private fun callerGone() {
        if (ended) return
        finish("caller-gone", STATUS_CALLER_GONE)
    }

    companion object {
        private val SUCCESS = 200..299

        /** The call's own timeout ends it first. */
        private const val ANSWER_SLACK_MILLISECONDS = 500L

        /** In logs only, after the custom of web servers. */
        private const val STATUS_CALLER_GONE = 499
    }
}
