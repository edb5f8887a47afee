/*
 * The control of one failure domain: which daemon holds it, and how the holder manages the groups.
 *
 * This is the module's entry point for a daemon. It routes messages between the two sets of rules, so that the daemon
 * receives only decisions with an external effect.
 */
package org.vanillalink.groups

import org.vanillalink.model.Aggregate
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.FencingNumber
import org.vanillalink.model.Transition
import java.time.Instant

private typealias DomainStep = Transition<DomainState, DomainDecision>

/** The state of [FailureDomainAggregate]. */
data class DomainState(
    val control: ControlState = ControlState(),
    val controller: ControllerState = ControllerState(),
) {
    /** The number with which this daemon assumes to hold control, or null. */
    val heldFencingNumber: FencingNumber? get() = control.held?.fencingNumber

    /** The groups that this daemon formed or took over; empty while it does not hold control. */
    val descriptions: List<GroupDescription>
        get() =
            controller.groups.values
                .filter { it.row.members.isNotEmpty() }
                .map { it.description }
}

/**
 * Takes part in the control of [domain] as [self]. Daemons in the domain itself ([isOwnDomain]) attempt a takeover
 * sooner than others. [placement] and [repairOrder] are the exchangeable policies.
 */
class FailureDomainAggregate(
    self: ControlHolder,
    domain: FailureDomainId,
    isOwnDomain: Boolean,
    settings: GroupSettings,
    placement: PlacementPolicy = BestFit(),
    repairOrder: RepairOrder = LeastAvailableServiceFirst(),
) : Aggregate<DomainState, DomainEvent, DomainDecision> {
    private val control = FailureDomainControl(self, domain, isOwnDomain, settings)
    private val controller = GroupController(domain, settings, placement, repairOrder)

    override fun handle(
        state: DomainState,
        event: DomainEvent,
        now: Instant,
    ): DomainStep = when (event) {
        is DomainEvent.Tick -> chain(sendToControl(state, event, now)) { sendToController(it, event, now) }
        is ControlEvent -> sendToControl(state, event, now)
        is ControllerEvent -> chain(observeFencingNumber(state, event, now)) { sendToController(it, event, now) }
    }

    private fun observeFencingNumber(
        state: DomainState,
        event: ControllerEvent,
        now: Instant,
    ): DomainStep {
        val fencingNumber = findFencingNumber(state, event) ?: return Transition(state)
        if (fencingNumber <= state.control.highestObserved) return Transition(state)
        return sendToControl(state, ControlEvent.FencingNumberSeen(fencingNumber), now)
    }

    private fun findFencingNumber(
        state: DomainState,
        event: ControllerEvent,
    ): FencingNumber? = when (event) {
        is ControllerEvent.ReportReceived -> {
            val report = event.received.report
            report.highestFencingNumber.takeIf { report.host in state.controller.hosts }
        }

        is ControllerEvent.OrderAnswered -> {
            (event.result.leftOrNull() as? OrderFailure.Fenced)?.highestFencingNumber
        }

        else -> {
            null
        }
    }

    private fun sendToControl(
        state: DomainState,
        event: DomainEvent,
        now: Instant,
    ): DomainStep {
        val step = control.handle(state.control, event, now)
        return routeDecisions(Transition(state.copy(control = step.state), step.decisions), now)
    }

    private fun sendToController(
        state: DomainState,
        event: DomainEvent,
        now: Instant,
    ): DomainStep {
        val step = controller.handle(state.controller, event, now)
        return routeDecisions(Transition(state.copy(controller = step.state), step.decisions), now)
    }

    /** Passes internal decisions on to the other part, in order, and keeps those with an external effect. */
    private fun routeDecisions(
        step: DomainStep,
        now: Instant,
    ): DomainStep = step.decisions.fold(Transition(step.state)) { accumulated, decision ->
        val kept =
            Transition(
                accumulated.state,
                accumulated.decisions + listOf(decision).filter { it !is InternalDecision },
            )
        chain(kept) { deliver(it, decision, now) }
    }

    private fun deliver(
        state: DomainState,
        decision: DomainDecision,
        now: Instant,
    ): DomainStep = when (decision) {
        is InternalDecision.SendToControl -> {
            sendToControl(state, decision.event, now)
        }

        is InternalDecision.WritesFinished -> {
            sendToController(state, ControllerEvent.WritesFinished(decision.result), now)
        }

        is DomainDecision.ControlGained -> {
            sendToController(state, ControllerEvent.ControlGained(decision.fencingNumber), now)
        }

        is DomainDecision.ControlLost -> {
            sendToController(state, ControllerEvent.ControlLost, now)
        }

        is DomainDecision.PlatformStatusChanged -> {
            sendToController(state, ControllerEvent.PlatformStatusChanged(decision.isReachable), now)
        }

        else -> {
            Transition(state)
        }
    }

    private fun chain(
        first: DomainStep,
        next: (DomainState) -> DomainStep,
    ): DomainStep {
        val second = next(first.state)
        return Transition(second.state, first.decisions + second.decisions)
    }
}
