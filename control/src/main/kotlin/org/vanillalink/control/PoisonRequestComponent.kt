/*
 * Limits how many targets one model request can crash.
 *
 * It sits between the router's choice of a target and the send, and does not change that choice. A request that may not
 * be sent to that target yet waits for it, with its unit in use, until it is permitted or the router cancels it.
 * Waiting here affects neither the router's count of attempts nor its retry budget.
 */
package org.vanillalink.control

import org.vanillalink.dispatch.poison.PoisonDecision
import org.vanillalink.dispatch.poison.PoisonEvent
import org.vanillalink.dispatch.poison.PoisonRequestTracker
import org.vanillalink.dispatch.poison.PoisonState
import org.vanillalink.dispatch.poison.TargetInstance
import org.vanillalink.dispatch.record.CallFingerprint
import org.vanillalink.groups.ReceivedReport
import org.vanillalink.model.AttemptId
import org.vanillalink.model.DaemonId
import org.vanillalink.model.Refusal
import org.vanillalink.model.RequestId
import org.vanillalink.routing.RouterDecision
import org.vanillalink.routing.RouterEvent
import java.time.Duration
import java.time.Instant

/** Operations that [CallsComponent] provides to [PoisonRequestComponent]. */
internal interface RequestSender {
    /**
     * Sends the request as [decision] says; returns the target instance, or null if the attempt is no longer admitted.
     */
    fun send(
        decision: RouterDecision.StartAttempt,
        step: ProcessingStep,
    ): TargetInstance?

    /** Forwards the request as [decision] says. */
    fun forward(
        decision: RouterDecision.ForwardRequest,
        step: ProcessingStep,
    )

    /** Refuses the request, whose attempt is deferred, with [refusal]. */
    fun refuse(
        request: RequestId,
        refusal: Refusal,
        step: ProcessingStep,
    )
}

internal class PoisonRequestComponent(
    daemon: DaemonId,
    private val calls: RequestSender,
) {
    private class TrackedRequest(
        val fingerprint: CallFingerprint,
    ) {
        var mayHaveRun = false
        var forwarded = false
        var notBefore: Instant = Instant.MIN
        var deferredDecision: RouterDecision? = null
    }

    private val register = PoisonRequestTracker()
    private val requests = LinkedHashMap<RequestId, TrackedRequest>()
    private val completedFingerprints = RecentFingerprints()

    var state = PoisonState(daemon)
        private set

    /** Tracks a model request before the router receives it. */
    fun requestArrived(
        request: RequestId,
        fingerprint: CallFingerprint,
    ) {
        requests[request] = TrackedRequest(fingerprint)
    }

    /** Executes the router's choice now or later. */
    fun startOrDefer(
        decision: RouterDecision.StartAttempt,
        step: ProcessingStep,
    ) {
        if (!defer(decision.request, decision, step)) calls.send(decision, step)
    }

    /** Forwards a request now or later. */
    fun forwardOrDefer(
        decision: RouterDecision.ForwardRequest,
        step: ProcessingStep,
    ) {
        if (!defer(decision.request, decision, step)) calls.forward(decision, step)
    }

    /** Defers [decision] until it is permitted; returns false if its request is not tracked. */
    private fun defer(
        id: RequestId,
        decision: RouterDecision,
        step: ProcessingStep,
    ): Boolean {
        val request = requests[id] ?: return false
        request.deferredDecision = decision
        request.forwarded = decision is RouterDecision.ForwardRequest
        requestPermission(id, request, step)
        return true
    }

    /** The router ended [request]; returns whether a decision on it was still deferred. */
    fun requestEnded(request: RequestId): Boolean = requests.remove(request)?.deferredDecision != null

    /** The router cancelled an attempt of [request]; returns whether it was still deferred. */
    fun attemptCancelled(
        request: RequestId,
        attempt: Int,
        step: ProcessingStep,
    ): Boolean {
        handle(PoisonEvent.AttemptEnded(attemptId(request, attempt)), step)
        return requestEnded(request)
    }

    /** Records the ends of attempts, before the router receives them. */
    fun observe(
        event: RouterEvent,
        step: ProcessingStep,
    ) {
        when (event) {
            is RouterEvent.AttemptFinished -> {
                requests[event.request]?.let { completedFingerprints.add(it.fingerprint) }
                handle(PoisonEvent.AttemptEnded(attemptId(event.request, event.attempt)), step)
            }

            is RouterEvent.AttemptFailed -> {
                attemptFailed(event, step)
            }

            else -> {
                Unit
            }
        }
    }

    /** A report confirms that the reporting process is alive and that any earlier process on its host is not. */
    fun reportUpdated(
        received: ReceivedReport,
        step: ProcessingStep,
    ) {
        val alive = TargetInstance(received.report.host, received.report.boot)
        val lost =
            state.runningAttempts.values
                .map { it.target }
                .filter { it.host == alive.host && it != alive }
        lost.toSet().forEach { handle(PoisonEvent.TargetLost(it), step) }
        if (state.strikes.isNotEmpty()) handle(PoisonEvent.TargetConfirmedAlive(alive, received.receivedAt), step)
    }

    /** Requests permission again for deferred requests. */
    fun tick(step: ProcessingStep) {
        requests.entries.filter { it.value.deferredDecision != null }.forEach { (id, request) ->
            val isAwaitingPermit = id in state.requestedPermits
            if (!isAwaitingPermit) requestPermission(id, request, step)
        }
    }

    fun handle(
        event: PoisonEvent,
        step: ProcessingStep,
    ) {
        val next = register.handle(state, event, step.now)
        state = next.state
        next.decisions.forEach { execute(it, step) }
    }

    private fun requestPermission(
        id: RequestId,
        request: TrackedRequest,
        step: ProcessingStep,
    ) {
        if (step.now < request.notBefore) return
        when (val decision = request.deferredDecision) {
            is RouterDecision.StartAttempt -> {
                handle(
                    PoisonEvent.PlacementRequested(id, request.fingerprint, decision.host, request.mayHaveRun),
                    step,
                )
            }

            is RouterDecision.ForwardRequest -> {
                handle(PoisonEvent.ForwardingRequested(id, request.fingerprint, request.mayHaveRun), step)
            }

            else -> {
                Unit
            }
        }
    }

    private fun execute(
        decision: PoisonDecision,
        step: ProcessingStep,
    ) {
        when (decision) {
            is PoisonDecision.Place -> place(decision, step)
            is PoisonDecision.Forward -> forward(decision, step)
            is PoisonDecision.Postpone -> Unit
            is PoisonDecision.Refuse -> refuse(decision, step)
            is PoisonDecision.SendStrikes -> announceStrikes(decision, step)
            is PoisonDecision.RequestPermit -> step.addDecision(DaemonDecision.ForPoison(decision))
            is PoisonDecision.SendPermitResponse -> step.addDecision(DaemonDecision.ForPoison(decision))
            is PoisonDecision.ReturnPermit -> step.addDecision(DaemonDecision.ForPoison(decision))
        }
    }

    /** Sends strikes to the known peers at once, because a resend may be on its way; gossip reaches the others. */
    private fun announceStrikes(
        decision: PoisonDecision.SendStrikes,
        step: ProcessingStep,
    ) {
        step.addDecision(DaemonDecision.ForPoison(decision))
        decision.strikes.forEach { step.publish(LocalEvent.StrikeAdded(it)) }
    }

    /** A copy that is not known to be harmless waits until the copy that runs elsewhere has ended. */
    private fun place(
        decision: PoisonDecision.Place,
        step: ProcessingStep,
    ) {
        val request = requests[decision.request]
        val deferredAttempt = request?.deferredDecision as? RouterDecision.StartAttempt
        val isTargetMismatch =
            deferredAttempt == null ||
                (deferredAttempt.host != decision.host && request.fingerprint !in completedFingerprints)
        if (isTargetMismatch) {
            handle(PoisonEvent.PlacementAbandoned(decision.request, decision.host), step)
            return
        }
        request.deferredDecision = null
        val target = calls.send(deferredAttempt, step)
        if (target == null) {
            handle(PoisonEvent.PlacementAbandoned(decision.request, decision.host), step)
            return
        }
        val attempt = attemptId(deferredAttempt.request, deferredAttempt.attempt)
        handle(PoisonEvent.AttemptStarted(attempt, request.fingerprint, target), step)
    }

    private fun forward(
        decision: PoisonDecision.Forward,
        step: ProcessingStep,
    ) {
        val request = requests[decision.request] ?: return
        val deferredForward = request.deferredDecision as? RouterDecision.ForwardRequest ?: return
        request.deferredDecision = null
        calls.forward(deferredForward, step)
    }

    private fun refuse(
        decision: PoisonDecision.Refuse,
        step: ProcessingStep,
    ) {
        val isDeferred = requests[decision.request]?.deferredDecision != null
        if (isDeferred) calls.refuse(decision.request, decision.refusal, step)
    }

    private fun attemptFailed(
        event: RouterEvent.AttemptFailed,
        step: ProcessingStep,
    ) {
        val attempt = attemptId(event.request, event.attempt)
        val isResponsive = !event.mayHaveRun || event.executionEnded
        val ended = if (isResponsive) PoisonEvent.AttemptEnded(attempt) else PoisonEvent.AttemptConnectionLost(attempt)
        val request = requests[event.request]
        if (request != null) {
            request.mayHaveRun = request.mayHaveRun || event.mayHaveRun
            if (request.forwarded && event.mayHaveRun) request.notBefore = step.now.plus(STRIKE_ARRIVAL_TIMEOUT)
        }
        handle(ended, step)
    }

    private fun attemptId(
        request: RequestId,
        attempt: Int,
    ) = AttemptId("$request.$attempt")

    private companion object {
        /** How long to wait for strikes from another failure domain after it failed with a request. */
        val STRIKE_ARRIVAL_TIMEOUT: Duration = Duration.ofSeconds(2)
    }
}
