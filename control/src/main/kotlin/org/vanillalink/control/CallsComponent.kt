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
 * [routerUpdates] returns the events that the router needs before another event. [admitAttempt] turns the router's
 * choice
 * into a complete target, or returns null where the attempt must not be sent.
 */
internal class CallsComponent(
    identity: DaemonIdentity,
    private val routerUpdates: (RouterEvent?, ProcessingStep) -> List<RouterEvent>,
    private val admitAttempt: (RouterDecision.StartAttempt, ProcessingStep) -> AttemptTarget?,
) : RequestSender {
    private val router = Router()
    private val poison = PoisonRequestComponent(identity.daemon, this)
    private val dispatch = IdempotentDispatch()
    private val keyedCalls = KeyedCalls()

    /** Attempts that hold a unit and aren't sent yet. */
    private val admittedAttempts = HashMap<Pair<RequestId, Int>, AttemptTarget>()

    val routerState = RouterState()

    /** What is known of requests that crash their targets. */
    val poisonState: PoisonState get() = poison.state

    var dispatchState = DispatchState(RecordOwner(identity.daemon, identity.boot))
        private set

    fun tick(step: ProcessingStep) {
        handle(RouterEvent.Tick, step)
        handle(DispatchEvent.Tick, step)
        poison.tick(step)
    }

    fun modelCallArrived(
        event: DaemonEvent.ModelCallArrived,
        step: ProcessingStep,
    ) {
        poison.requestArrived(event.arrival.request, event.fingerprint)
        handle(event.arrival, step)
    }

    fun handle(
        event: PoisonEvent,
        step: ProcessingStep,
    ) = poison.handle(event, step)

    fun reportUpdated(
        received: ReceivedReport,
        step: ProcessingStep,
    ) = poison.reportUpdated(received, step)

    fun handle(
        event: RouterEvent,
        step: ProcessingStep,
    ) {
        poison.observe(event, step)
        routerUpdates(event, step).forEach { route(it, step) }
        route(event, step)
    }

    /** Tells the router what has changed since it was last told. */
    fun refresh(step: ProcessingStep) = routerUpdates(null, step).forEach { route(it, step) }

    /** All attempts that the router starts are admitted before anything else happens: its choices rest on the units. */
    private fun route(
        event: RouterEvent,
        step: ProcessingStep,
    ) {
        val decisions = router.handle(routerState, event, step.now).decisions
        val targets = decisions.map { (it as? RouterDecision.StartAttempt)?.let { start -> admitAttempt(start, step) } }
        decisions.zip(targets).forEach { (decision, target) -> execute(decision, target, step) }
    }

    fun handle(
        event: DispatchEvent,
        step: ProcessingStep,
    ) {
        val next = dispatch.handle(dispatchState, event, step.now)
        dispatchState = next.state
        next.decisions.forEach { execute(it, step) }
    }

    fun keyedCallArrived(
        event: DaemonEvent.KeyedCallArrived,
        step: ProcessingStep,
    ) {
        keyedCalls.add(event.call, event.arrival)
        handle(DispatchEvent.CallArrived(event.call), step)
    }

    fun keyedCallAnswered(
        event: DaemonEvent.KeyedCallAnswered,
        step: ProcessingStep,
    ) {
        keyedCalls.recordOutcome(event.finished.request, event.outcome)
        handle(event.finished, step)
    }

    private fun execute(
        decision: RouterDecision,
        target: AttemptTarget?,
        step: ProcessingStep,
    ) {
        when (decision) {
            is RouterDecision.StartAttempt -> {
                startAttempt(decision, target, step)
            }

            is RouterDecision.AnswerRequest -> {
                poison.requestEnded(decision.request)
                finish(decision, keyedCalls.complete(decision.request), step)
            }

            is RouterDecision.RefuseRequest -> {
                poison.requestEnded(decision.request)
                finish(decision, keyedCalls.fail(decision.request, decision.refusal), step)
            }

            is RouterDecision.OverloadBegan -> {
                step.addDecision(TimelineRecords.from(decision))
            }

            is RouterDecision.OverloadEnded -> {
                step.addDecision(TimelineRecords.from(decision))
            }

            is RouterDecision.ForwardRequest -> {
                poison.forwardOrDefer(decision, step)
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
        step: ProcessingStep,
    ) {
        if (target == null) {
            handle(RouterEvent.AttemptFailed(decision.request, decision.attempt, mayHaveRun = false), step)
            return
        }
        admittedAttempts[decision.request to decision.attempt] = target
        poison.startOrDefer(decision, step)
    }

    private fun cancel(
        decision: RouterDecision.CancelAttempt,
        step: ProcessingStep,
    ) {
        admittedAttempts.remove(decision.request to decision.attempt)
        if (!poison.attemptCancelled(decision.request, decision.attempt, step)) {
            step.addDecision(DaemonDecision.ForRouter(decision))
            return
        }
        step.publish(LocalEvent.ForRouter(RouterEvent.AttemptExecutionEnded(decision.request, decision.attempt)))
    }

    override fun send(
        decision: RouterDecision.StartAttempt,
        step: ProcessingStep,
    ): TargetInstance? {
        val target = admittedAttempts.remove(decision.request to decision.attempt)
        if (target != null) {
            step.addDecision(DaemonDecision.StartAttempt(decision.request, decision.attempt, target))
            return TargetInstance(target.host, target.boot)
        }
        handle(RouterEvent.AttemptFailed(decision.request, decision.attempt, mayHaveRun = false), step)
        return null
    }

    override fun forward(
        decision: RouterDecision.ForwardRequest,
        step: ProcessingStep,
    ) = step.addDecision(DaemonDecision.ForRouter(decision))

    override fun refuse(
        request: RequestId,
        refusal: Refusal,
        step: ProcessingStep,
    ) {
        handle(RouterEvent.RequestCancelled(request), step)
        step.addDecision(DaemonDecision.ForRouter(RouterDecision.RefuseRequest(request, refusal)))
    }

    /** A keyed call's end goes to its record first, which then gives the caller its answer. */
    private fun finish(
        decision: RouterDecision,
        keyedEvent: DispatchEvent?,
        step: ProcessingStep,
    ) {
        if (keyedEvent == null) step.addDecision(DaemonDecision.ForRouter(decision)) else handle(keyedEvent, step)
    }

    private fun execute(
        decision: DispatchDecision,
        step: ProcessingStep,
    ) {
        when (decision) {
            is DispatchDecision.SendToTarget -> {
                keyedCalls.arrivalFor(decision.call.request)?.let { handle(it, step) }
            }

            is DispatchDecision.RespondToCaller -> {
                finishKeyedCall(decision.request, decision, step)
            }

            is DispatchDecision.RefuseCall -> {
                finishKeyedCall(decision.request, decision, step)
            }

            is DispatchDecision.Transact,
            is DispatchDecision.ReadRow,
            is DispatchDecision.QueryOwner,
            is DispatchDecision.StoreBody,
            -> {
                step.addDecision(DaemonDecision.ForDispatch(decision))
            }
        }
    }

    private fun finishKeyedCall(
        request: RequestId,
        decision: DispatchDecision,
        step: ProcessingStep,
    ) {
        keyedCalls.remove(request)
        step.addDecision(DaemonDecision.ForDispatch(decision))
    }
}
