/*
 * The part of a daemon's decisions that bounds how many targets one model request takes down.
 *
 * It stands between the router's choice of a target and the send. The router's choice stays: a request that may not be
 * sent to that target now waits for it with its unit in use, until it may or the router gives it up. Waiting keeps the
 * router's count of attempts and its retry budget out of it.
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

/** What the requests' part does for the poison part. */
internal interface RequestSender {
    /** Sends the request as [decision] says; gives the target's run, or null where it isn't there any more. */
    fun send(
        decision: RouterDecision.StartAttempt,
        step: ProcessingStep,
    ): TargetInstance?

    /** Passes the request on as [decision] says. */
    fun forward(
        decision: RouterDecision.ForwardRequest,
        step: ProcessingStep,
    )

    /** Ends the request, whose attempt waits, with [refusal]. */
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

    /** Takes note of a model request before the router gets it. */
    fun requestArrived(
        request: RequestId,
        fingerprint: CallFingerprint,
    ) {
        requests[request] = TrackedRequest(fingerprint)
    }

    /** Carries out the router's choice now or later. */
    fun startOrDefer(
        decision: RouterDecision.StartAttempt,
        step: ProcessingStep,
    ) {
        if (!defer(decision.request, decision, step)) calls.send(decision, step)
    }

    /** Passes a request on now or later. */
    fun forwardOrDefer(
        decision: RouterDecision.ForwardRequest,
        step: ProcessingStep,
    ) {
        if (!defer(decision.request, decision, step)) calls.forward(decision, step)
    }

    /** Lets [decision] wait until it may be carried out; gives false where nothing is known of its request. */
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

    /** The router ended [request]; gives whether its attempt was still waiting to be sent. */
    fun requestEnded(request: RequestId): Boolean = requests.remove(request)?.deferredDecision != null

    /** The router gave up an attempt of [request]; gives whether it was still waiting to be sent. */
    fun attemptCancelled(
        request: RequestId,
        attempt: Int,
        step: ProcessingStep,
    ): Boolean {
        handle(PoisonEvent.AttemptEnded(attemptId(request, attempt)), step)
        return requestEnded(request)
    }

    /** Takes note of what happened to attempts, before the router is told. */
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

    /** A target's process shows that it lives, and that any earlier one doesn't. */
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

    /** Asks again for the requests that wait. */
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

    /** At once to the peers that are known, since a resend may be on its way; gossip reaches the others. */
    private fun announceStrikes(
        decision: PoisonDecision.SendStrikes,
        step: ProcessingStep,
    ) {
        step.addDecision(DaemonDecision.ForPoison(decision))
        decision.strikes.forEach { step.publish(LocalEvent.StrikeAdded(it)) }
    }

    /** A copy whose harm isn't known waits until the copy that runs elsewhere has ended. */
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
        /** How long strikes of another failure domain are waited for after it failed with a request. */
        val STRIKE_ARRIVAL_TIMEOUT: Duration = Duration.ofSeconds(2)
    }
}
