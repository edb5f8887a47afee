/*
 * The requests' part of a daemon's decisions: where requests go, and calls that may run at most once.
 */
package org.vanillalink.control

import org.vanillalink.dispatch.poison.PoisonEvent
import org.vanillalink.dispatch.poison.PoisonState
import org.vanillalink.dispatch.poison.TargetInstance
import org.vanillalink.dispatch.record.DispatchDecision
import org.vanillalink.dispatch.record.DispatchEvent
import org.vanillalink.dispatch.record.DispatchState
import org.vanillalink.dispatch.record.IdempotentDispatch
import org.vanillalink.dispatch.record.RecordOwner
import org.vanillalink.groups.ReceivedReport
import org.vanillalink.membership.DaemonIdentity
import org.vanillalink.model.Refusal
import org.vanillalink.model.RequestId
import org.vanillalink.routing.Router
import org.vanillalink.routing.RouterDecision
import org.vanillalink.routing.RouterEvent
import org.vanillalink.routing.RouterState

/**
 * [prepare] gives what the router has to be told before an event. [describe] completes the router's choice with what an
 * attempt's target has to be told, or gives null where the attempt may not be sent.
 */
internal class CallsPart(
    identity: DaemonIdentity,
    private val prepare: (RouterEvent?, ControlStep) -> List<RouterEvent>,
    private val describe: (RouterDecision.StartAttempt, ControlStep) -> AttemptTarget?,
) : PlacedCalls {
    private val router = Router()
    private val poison = PoisonPart(identity.daemon, this)
    private val dispatch = IdempotentDispatch()
    private val keyedCalls = KeyedCalls()

    /** Attempts that hold a unit and aren't sent yet. */
    private val admitted = HashMap<Pair<RequestId, Int>, AttemptTarget>()

    val routerState = RouterState()

    /** What is known of requests that crash their targets. */
    val poisonState: PoisonState get() = poison.state

    var dispatchState = DispatchState(RecordOwner(identity.daemon, identity.boot))
        private set

    fun tick(step: ControlStep) {
        handle(RouterEvent.Tick, step)
        handle(DispatchEvent.Tick, step)
        poison.tick(step)
    }

    fun modelCallArrived(
        event: DaemonEvent.ModelCallArrived,
        step: ControlStep,
    ) {
        poison.arrived(event.arrival.request, event.fingerprint)
        handle(event.arrival, step)
    }

    fun handle(
        event: PoisonEvent,
        step: ControlStep,
    ) = poison.handle(event, step)

    fun reportKnown(
        received: ReceivedReport,
        step: ControlStep,
    ) = poison.reportKnown(received, step)

    fun handle(
        event: RouterEvent,
        step: ControlStep,
    ) {
        poison.happened(event, step)
        prepare(event, step).forEach { route(it, step) }
        route(event, step)
    }

    /** Tells the router what has changed since it was last told. */
    fun refresh(step: ControlStep) = prepare(null, step).forEach { route(it, step) }

    /** All attempts that the router starts are admitted before anything else happens: its choices rest on the units. */
    private fun route(
        event: RouterEvent,
        step: ControlStep,
    ) {
        val decisions = router.handle(routerState, event, step.now).decisions
        val targets = decisions.map { (it as? RouterDecision.StartAttempt)?.let { start -> describe(start, step) } }
        decisions.zip(targets).forEach { (decision, target) -> follow(decision, target, step) }
    }

    fun handle(
        event: DispatchEvent,
        step: ControlStep,
    ) {
        val next = dispatch.handle(dispatchState, event, step.now)
        dispatchState = next.state
        next.decisions.forEach { follow(it, step) }
    }

    fun keyedCallArrived(
        event: DaemonEvent.KeyedCallArrived,
        step: ControlStep,
    ) {
        keyedCalls.add(event.call, event.arrival)
        handle(DispatchEvent.CallArrived(event.call), step)
    }

    fun keyedCallAnswered(
        event: DaemonEvent.KeyedCallAnswered,
        step: ControlStep,
    ) {
        keyedCalls.answered(event.finished.request, event.outcome)
        handle(event.finished, step)
    }

    private fun follow(
        decision: RouterDecision,
        target: AttemptTarget?,
        step: ControlStep,
    ) {
        when (decision) {
            is RouterDecision.StartAttempt -> {
                startAttempt(decision, target, step)
            }

            is RouterDecision.AnswerRequest -> {
                poison.ended(decision.request)
                finish(decision, keyedCalls.finish(decision.request), step)
            }

            is RouterDecision.RefuseRequest -> {
                poison.ended(decision.request)
                finish(decision, keyedCalls.fail(decision.request, decision.refusal), step)
            }

            is RouterDecision.OverloadBegan -> {
                step.decide(TimelineNotes.of(decision))
            }

            is RouterDecision.OverloadEnded -> {
                step.decide(TimelineNotes.of(decision))
            }

            is RouterDecision.ForwardRequest -> {
                poison.forward(decision, step)
            }

            is RouterDecision.CancelAttempt -> {
                cancel(decision, step)
            }
        }
    }

    /** An admitted attempt is sent once nothing speaks against its request; until then its unit is in use. */
    private fun startAttempt(
        decision: RouterDecision.StartAttempt,
        target: AttemptTarget?,
        step: ControlStep,
    ) {
        if (target == null) {
            handle(RouterEvent.AttemptFailed(decision.request, decision.attempt, mayHaveRun = false), step)
            return
        }
        admitted[decision.request to decision.attempt] = target
        poison.place(decision, step)
    }

    private fun cancel(
        decision: RouterDecision.CancelAttempt,
        step: ControlStep,
    ) {
        admitted.remove(decision.request to decision.attempt)
        if (!poison.cancelled(decision.request, decision.attempt, step)) {
            step.decide(DaemonDecision.ForRouter(decision))
            return
        }
        step.tell(PartNews.ForRouter(RouterEvent.AttemptExecutionEnded(decision.request, decision.attempt)))
    }

    override fun send(
        decision: RouterDecision.StartAttempt,
        step: ControlStep,
    ): TargetInstance? {
        val target = admitted.remove(decision.request to decision.attempt)
        if (target != null) {
            step.decide(DaemonDecision.StartAttempt(decision.request, decision.attempt, target))
            return TargetInstance(target.host, target.boot)
        }
        handle(RouterEvent.AttemptFailed(decision.request, decision.attempt, mayHaveRun = false), step)
        return null
    }

    override fun forward(
        decision: RouterDecision.ForwardRequest,
        step: ControlStep,
    ) = step.decide(DaemonDecision.ForRouter(decision))

    override fun refuse(
        request: RequestId,
        refusal: Refusal,
        step: ControlStep,
    ) {
        handle(RouterEvent.RequestCancelled(request), step)
        step.decide(DaemonDecision.ForRouter(RouterDecision.RefuseRequest(request, refusal)))
    }

    /** A keyed call's end goes to its record first, which then gives the caller its answer. */
    private fun finish(
        decision: RouterDecision,
        keyed: DispatchEvent?,
        step: ControlStep,
    ) {
        if (keyed == null) step.decide(DaemonDecision.ForRouter(decision)) else handle(keyed, step)
    }

    private fun follow(
        decision: DispatchDecision,
        step: ControlStep,
    ) {
        when (decision) {
            is DispatchDecision.SendToTarget -> {
                keyedCalls.arrivalOf(decision.call.request)?.let { handle(it, step) }
            }

            is DispatchDecision.RespondToCaller -> {
                finishKeyed(decision.request, decision, step)
            }

            is DispatchDecision.RefuseCall -> {
                finishKeyed(decision.request, decision, step)
            }

            is DispatchDecision.Transact,
            is DispatchDecision.ReadRow,
            is DispatchDecision.QueryOwner,
            is DispatchDecision.StoreBody,
            -> {
                step.decide(DaemonDecision.ForDispatch(decision))
            }
        }
    }

    private fun finishKeyed(
        request: RequestId,
        decision: DispatchDecision,
        step: ControlStep,
    ) {
        keyedCalls.forget(request)
        step.decide(DaemonDecision.ForDispatch(decision))
    }
}
