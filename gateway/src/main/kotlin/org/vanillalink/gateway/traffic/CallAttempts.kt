/*
 * The attempts of one call: the current one, and at times a hedge beside it. Chooses targets, sends the request, and
 * keeps the counts of targets and of the shared retry budget.
 */
package org.vanillalink.gateway.traffic

import org.vanillalink.gateway.ports.ForwardingMetadata
import org.vanillalink.model.HostId
import org.vanillalink.serving.balancing.SecondAttempts
import org.vanillalink.transport.ResponseListener
import org.vanillalink.transport.SendOptions
import java.time.Duration

internal class CallAttempts(
    private val context: CallContext,
    private val request: AdmittedRequest,
) {
    var current: Attempt? = null
        private set

    /**
     * A second attempt, begun since the current one gives no sign of life. It replaces the current one when its
     * response begins, and ends when the current one goes on.
     */
    var hedge: Attempt? = null
        private set

    /** What the attempt in progress shows, or the last one. */
    var evidence = AttemptEvidence(context, request, context.now())
        private set

    /** How many targets the request was sent to; those that it did not reach don't count. */
    var count = 0
        private set

    /** The targets in order, each with its load and how its attempt ended. */
    val trail = StringBuilder()
    private val triedTargets = HashSet<HostId>()
    private val now: Long get() = context.now()

    /** The next target that would take the request now, or null. */
    fun chooseTarget(needsFreeSlot: Boolean = false): ChosenTarget? {
        val limitPerSlot = context.waitingCalls.limitPerSlot(request)
        // Only requests that can wait here are kept from groups that would serve them late; those that have waited for
        // too long leave room to others that are still in time.
        val hasGoal = request.work.priority != null && request.route.latencyGoalMilliseconds > 0
        val goal = if (hasGoal) maxOf(0, request.work.goalAt - now) else null
        val preferences = TargetPreferences(count == 0 && canHedge(), needsFreeSlot, limitPerSlot, goal)
        return context.state.chooseTarget(request.service, request.metadata.model, triedTargets, now, preferences)
    }

    /** Whether [budgetShare] of the retry budget has a retry left for another attempt. */
    fun isRetryAvailable(budgetShare: Double): Boolean =
        context.state.retryBudget(request.service.name).isAvailable(now, context.state.view.budgetDaemons, budgetShare)

    private fun canHedge(): Boolean =
        request.route.isRepeatable && request.route.maxAttempts > 1 && isRetryAvailable(SecondAttempts.BUDGET_SHARE)

    /** Counts an attempt; each one after the first that is sent to a target is taken from the shared retry budget. */
    fun reserve(): Boolean {
        val isFirst = count == 0
        if (!isFirst && !context.state.takeRetry(request.service.name, now)) {
            trail.append("!retry-budget")
            return false
        }
        count += 1
        return true
    }

    /** Revokes the count of an attempt that has not reached its target. */
    fun revokeReservation() {
        count -= 1
    }

    /** Sends the request to [chosen] as the current attempt; [lastEventId] is the last event that the caller has. */
    fun startCurrent(
        chosen: ChosenTarget,
        lastEventId: Long?,
        listenerOf: (Attempt) -> ResponseListener,
    ) {
        val attempt = create(chosen)
        makeCurrent(attempt)
        transmit(attempt, lastEventId, listenerOf(attempt))
    }

    /** Sends the request to [chosen] beside the current attempt, for [reason]. */
    fun startHedge(
        chosen: ChosenTarget,
        lastEventId: Long?,
        reason: String,
        listenerOf: (Attempt) -> ResponseListener,
    ) {
        val attempt = create(chosen)
        attempt.hedgeReason = reason
        hedge = attempt
        transmit(attempt, lastEventId, listenerOf(attempt))
    }

    /** Notes once that the target of [attempt] is suspected for [reason] and no other one can take the request. */
    fun recordSuspicion(
        attempt: Attempt,
        reason: String,
    ) {
        if (!attempt.isSuspected) trail.append("?$reason")
        attempt.isSuspected = true
    }

    /** Records that bytes of the response to [attempt] were received. */
    fun recordProgress(attempt: Attempt) {
        val isFirst = !attempt.evidence.hasResponseBegun
        context.state.stallDetector.recordProgress(attempt.target.id, now, isFirst)
        context.state.reachabilityMonitor.recordTargetProgress(attempt.target.failureDomain, now)
        context.state.groupProgress.recordProgress(attempt, now)
        attempt.evidence.recordRead()
    }

    /** Records the first event of the response to the current attempt. */
    fun recordFirstEvent() {
        current?.let { context.state.groupProgress.recordFirstEvent(it, now) }
    }

    /** Makes the hedge the current attempt if there is one, after the current one has ended. */
    fun promoteHedge(): Boolean {
        val next = hedge ?: return false
        context.requestLogger.countHedge(next.hedgeReason, isNeeded = true)
        makeCurrent(next)
        hedge = null
        return true
    }

    /** Ends the current attempt, whose response is complete. */
    fun releaseCurrent() {
        current?.let(::countEnd)
        current = null
    }

    fun closeCurrent() {
        current?.let(::close)
        current = null
    }

    /** Ends the hedge; the current attempt is read again. */
    fun closeHedge() {
        hedge?.let {
            context.requestLogger.countHedge(it.hedgeReason, isNeeded = false)
            close(it)
        }
        hedge = null
        current?.exchange?.setReading(true)
    }

    /** Stops reading the response to the current attempt until the hedge has ended or taken its place. */
    fun pauseCurrent() {
        current?.exchange?.setReading(false)
    }

    private fun makeCurrent(attempt: Attempt) {
        current = attempt
        evidence = attempt.evidence
    }

    private fun create(chosen: ChosenTarget): Attempt {
        val entry = chosen.entry
        triedTargets.add(entry.id)
        val isUnreachable = entry.failureDomain in context.state.unreachableDomains
        val forecast = context.state.groupProgress.recordSent(request, chosen, isUnreachable, now)
        context.state.recordSent(entry, now)
        val label = chosen.group?.key?.group ?: entry.id.value
        trail.append(if (trail.isEmpty()) "" else ",").append("$label/${chosen.inFlight}of${chosen.candidates}")
        return Attempt(entry, chosen.group?.key, AttemptEvidence(context, request, now), forecast)
    }

    private fun transmit(
        attempt: Attempt,
        lastEventId: Long?,
        listener: ResponseListener,
    ) {
        val remaining = maxOf(1, request.callerDeadline - now)
        val eventId = lastEventId ?: request.metadata.lastEventId
        val metadata =
            ForwardingMetadata(attempt.target, request.workspace?.id, remaining, eventId, request.work.priority)
        val options = SendOptions(responseTimeout = Duration.ofMillis(remaining + RESPONSE_TIMEOUT_MARGIN_MILLISECONDS))
        val forwarded = context.protocol.buildForwardedRequest(request.message, metadata)
        attempt.exchange = context.http.send(attempt.target.endpoint, forwarded, options, listener)
    }

    private fun close(attempt: Attempt) {
        countEnd(attempt)
        attempt.exchange?.close()
    }

    /** Ends [attempt] in the counts of its target. */
    private fun countEnd(attempt: Attempt) {
        context.state.recordEnded(attempt.target.id, attempt.evidence.hasResponseBegun)
        context.waitingCalls.requestDispatch()
    }

    private companion object {
        /** Added so that the call's own timeout ends the attempt first. */
        const val RESPONSE_TIMEOUT_MARGIN_MILLISECONDS = 500L
    }
}
