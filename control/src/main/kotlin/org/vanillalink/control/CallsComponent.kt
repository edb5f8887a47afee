/*
 * Routing of requests, and calls with an idempotency key, which run at most once.
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
 * choice into a complete target, or returns null if the attempt must not be sent.
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

    /** Attempts that hold a unit and have not been sent. */
    private val admittedAttempts = HashMap<Pair<RequestId, Int>, AttemptTarget>()

    val routerState = RouterState()

    /** State of requests that crash their targets. */
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

    /** Sends the router the changes since its last event. */
    fun refresh(step: ProcessingStep) = routerUpdates(null, step).forEach { route(it, step) }

    /**
     * Admits all attempts that the router starts before it handles another event, because its choices depend on the
     * units.
     */
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

    /** Sends an admitted attempt once its request is permitted to run; until then the attempt's unit is in use. */
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

    /** Passes the end of a keyed call to its record first; the record then answers the caller. */
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
