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
internal interface PlacedCalls {
    /** Sends the request as [decision] says; gives the target's run, or null where it isn't there any more. */
    fun send(
        decision: RouterDecision.StartAttempt,
        step: ControlStep,
    ): TargetInstance?

    /** Passes the request on as [decision] says. */
    fun forward(
        decision: RouterDecision.ForwardRequest,
        step: ControlStep,
    )

    /** Ends the request, whose attempt waits, with [refusal]. */
    fun refuse(
        request: RequestId,
        refusal: Refusal,
        step: ControlStep,
    )
}

internal class PoisonPart(
    daemon: DaemonId,
    private val calls: PlacedCalls,
) {
    private class WatchedRequest(
        val fingerprint: CallFingerprint,
    ) {
        var mayHaveRun = false
        var forwarded = false
        var notBefore: Instant = Instant.MIN
        var waiting: RouterDecision? = null
    }

    private val register = PoisonRequestTracker()
    private val requests = LinkedHashMap<RequestId, WatchedRequest>()
    private val harmless = RecentFingerprints()

    var state = PoisonState(daemon)
        private set

    /** Takes note of a model request before the router gets it. */
    fun arrived(
        request: RequestId,
        fingerprint: CallFingerprint,
    ) {
        requests[request] = WatchedRequest(fingerprint)
    }

    /** Carries out the router's choice now or later. */
    fun place(
        decision: RouterDecision.StartAttempt,
        step: ControlStep,
    ) {
        if (!hold(decision.request, decision, step)) calls.send(decision, step)
    }

    /** Passes a request on now or later. */
    fun forward(
        decision: RouterDecision.ForwardRequest,
        step: ControlStep,
    ) {
        if (!hold(decision.request, decision, step)) calls.forward(decision, step)
    }

    /** Lets [decision] wait until it may be carried out; gives false where nothing is known of its request. */
    private fun hold(
        id: RequestId,
        decision: RouterDecision,
        step: ControlStep,
    ): Boolean {
        val request = requests[id] ?: return false
        request.waiting = decision
        request.forwarded = decision is RouterDecision.ForwardRequest
        ask(id, request, step)
        return true
    }

    /** The router ended [request]; gives whether its attempt was still waiting to be sent. */
    fun ended(request: RequestId): Boolean = requests.remove(request)?.waiting != null

    /** The router gave up an attempt of [request]; gives whether it was still waiting to be sent. */
    fun cancelled(
        request: RequestId,
        attempt: Int,
        step: ControlStep,
    ): Boolean {
        handle(PoisonEvent.AttemptEnded(attemptOf(request, attempt)), step)
        return ended(request)
    }

    /** Takes note of what happened to attempts, before the router is told. */
    fun happened(
        event: RouterEvent,
        step: ControlStep,
    ) {
        when (event) {
            is RouterEvent.AttemptFinished -> {
                requests[event.request]?.let { harmless.add(it.fingerprint) }
                handle(PoisonEvent.AttemptEnded(attemptOf(event.request, event.attempt)), step)
            }

            is RouterEvent.AttemptFailed -> {
                failed(event, step)
            }

            else -> {
                Unit
            }
        }
    }

    /** A target's process shows that it lives, and that any earlier one doesn't. */
    fun reportKnown(
        received: ReceivedReport,
        step: ControlStep,
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
    fun tick(step: ControlStep) {
        requests.entries.filter { it.value.waiting != null }.forEach { (id, request) ->
            val isAsking = id in state.requestedPermits
            if (!isAsking) ask(id, request, step)
        }
    }

    fun handle(
        event: PoisonEvent,
        step: ControlStep,
    ) {
        val next = register.handle(state, event, step.now)
        state = next.state
        next.decisions.forEach { follow(it, step) }
    }

    private fun ask(
        id: RequestId,
        request: WatchedRequest,
        step: ControlStep,
    ) {
        if (step.now < request.notBefore) return
        when (val decision = request.waiting) {
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

    private fun follow(
        decision: PoisonDecision,
        step: ControlStep,
    ) {
        when (decision) {
            is PoisonDecision.Place -> place(decision, step)
            is PoisonDecision.Forward -> forward(decision, step)
            is PoisonDecision.Postpone -> Unit
            is PoisonDecision.Refuse -> refuse(decision, step)
            is PoisonDecision.SendStrikes -> tellPeers(decision, step)
            is PoisonDecision.RequestPermit -> step.decide(DaemonDecision.ForPoison(decision))
            is PoisonDecision.SendPermitResponse -> step.decide(DaemonDecision.ForPoison(decision))
            is PoisonDecision.ReturnPermit -> step.decide(DaemonDecision.ForPoison(decision))
        }
    }

    /** At once to the peers that are known, since a resend may be on its way; gossip reaches the others. */
    private fun tellPeers(
        decision: PoisonDecision.SendStrikes,
        step: ControlStep,
    ) {
        step.decide(DaemonDecision.ForPoison(decision))
        decision.strikes.forEach { step.tell(PartNews.StrikeMade(it)) }
    }

    /** A copy whose harm isn't known waits until the copy that runs elsewhere has ended. */
    private fun place(
        decision: PoisonDecision.Place,
        step: ControlStep,
    ) {
        val request = requests[decision.request]
        val wanted = request?.waiting as? RouterDecision.StartAttempt
        val elsewhere = wanted == null || (wanted.host != decision.host && request.fingerprint !in harmless)
        if (elsewhere) {
            handle(PoisonEvent.PlacementAbandoned(decision.request, decision.host), step)
            return
        }
        request.waiting = null
        val target = calls.send(wanted, step)
        if (target == null) {
            handle(PoisonEvent.PlacementAbandoned(decision.request, decision.host), step)
            return
        }
        val attempt = attemptOf(wanted.request, wanted.attempt)
        handle(PoisonEvent.AttemptStarted(attempt, request.fingerprint, target), step)
    }

    private fun forward(
        decision: PoisonDecision.Forward,
        step: ControlStep,
    ) {
        val request = requests[decision.request] ?: return
        val wanted = request.waiting as? RouterDecision.ForwardRequest ?: return
        request.waiting = null
        calls.forward(wanted, step)
    }

    private fun refuse(
        decision: PoisonDecision.Refuse,
        step: ControlStep,
    ) {
        val waits = requests[decision.request]?.waiting != null
        if (waits) calls.refuse(decision.request, decision.refusal, step)
    }

    private fun failed(
        event: RouterEvent.AttemptFailed,
        step: ControlStep,
    ) {
        val attempt = attemptOf(event.request, event.attempt)
        val targetAnswers = !event.mayHaveRun || event.executionEnded
        val ended = if (targetAnswers) PoisonEvent.AttemptEnded(attempt) else PoisonEvent.AttemptConnectionLost(attempt)
        val request = requests[event.request]
        if (request != null) {
            request.mayHaveRun = request.mayHaveRun || event.mayHaveRun
            if (request.forwarded && event.mayHaveRun) request.notBefore = step.now.plus(STRIKES_ARRIVE_WITHIN)
        }
        handle(ended, step)
    }

    private fun attemptOf(
        request: RequestId,
        attempt: Int,
    ) = AttemptId("$request.$attempt")

    private companion object {
        /** How long strikes of another failure domain are waited for after it failed with a request. */
        val STRIKES_ARRIVE_WITHIN: Duration = Duration.ofSeconds(2)
    }
}
