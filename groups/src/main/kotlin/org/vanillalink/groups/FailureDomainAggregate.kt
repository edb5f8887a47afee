/*
 * The control of one failure domain as a whole: who holds it, and what its holder does with the groups.
 *
 * This is the module's entry point for a daemon. It carries messages between the two sets of rules, so that the daemon
 * only sees decisions that concern the outside.
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
    /** The number under which this daemon believes to hold control, or null. */
    val heldNumber: FencingNumber? get() = control.held?.fencingNumber

    /** The groups as this daemon formed or took them over; empty while it doesn't hold control. */
    val descriptions: List<GroupDescription>
        get() =
            controller.groups.values
                .filter { it.row.members.isNotEmpty() }
                .map { it.description }
}

/**
 * Takes part in the control of [domain] as [self]. Daemons of the domain itself ([isOwnDomain]) try sooner than others
 * to take over. [placement] and [repairOrder] are what differs between policies.
 */
class FailureDomainAggregate(
    self: ControlHolder,
    domain: FailureDomainId,
    isOwnDomain: Boolean,
    settings: GroupSettings,
    placement: PlacementPolicy = BestFit(),
    repairOrder: RepairOrder = MostServiceFirst(),
) : Aggregate<DomainState, DomainEvent, DomainDecision> {
    private val control = FailureDomainControl(self, domain, isOwnDomain, settings)
    private val controller = GroupController(domain, settings, placement, repairOrder)

    override fun handle(
        state: DomainState,
        event: DomainEvent,
        now: Instant,
    ): DomainStep = when (event) {
        is DomainEvent.Tick -> then(toControl(state, event, now)) { toController(it, event, now) }
        is ControlEvent -> toControl(state, event, now)
        is ControllerEvent -> then(showFencing(state, event, now)) { toController(it, event, now) }
    }

    private fun showFencing(
        state: DomainState,
        event: ControllerEvent,
        now: Instant,
    ): DomainStep {
        val seen = fencingNumberIn(state, event) ?: return Transition(state)
        if (seen <= state.control.highestSeen) return Transition(state)
        return toControl(state, ControlEvent.FencingNumberSeen(seen), now)
    }

    private fun fencingNumberIn(
        state: DomainState,
        event: ControllerEvent,
    ): FencingNumber? = when (event) {
        is ControllerEvent.ReportReceived -> {
            val report = event.received.report
            report.highestFencingNumber.takeIf { report.host in state.controller.hosts }
        }

        is ControllerEvent.OrderAnswered -> {
            (event.answer.leftOrNull() as? OrderFailure.Fenced)?.highestFencingNumber
        }

        else -> {
            null
        }
    }

    private fun toControl(
        state: DomainState,
        event: DomainEvent,
        now: Instant,
    ): DomainStep {
        val step = control.handle(state.control, event, now)
        return route(Transition(state.copy(control = step.state), step.decisions), now)
    }

    private fun toController(
        state: DomainState,
        event: DomainEvent,
        now: Instant,
    ): DomainStep {
        val step = controller.handle(state.controller, event, now)
        return route(Transition(state.copy(controller = step.state), step.decisions), now)
    }

    /** Passes what one part says on to the other, in order, and keeps what concerns the outside. */
    private fun route(
        step: DomainStep,
        now: Instant,
    ): DomainStep = step.decisions.fold(Transition(step.state)) { soFar, decision ->
        val kept = Transition(soFar.state, soFar.decisions + listOf(decision).filter { it !is InternalDecision })
        then(kept) { deliver(it, decision, now) }
    }

    private fun deliver(
        state: DomainState,
        decision: DomainDecision,
        now: Instant,
    ): DomainStep = when (decision) {
        is InternalDecision.ToControl -> {
            toControl(state, decision.event, now)
        }

        is InternalDecision.WritesFinished -> {
            toController(state, ControllerEvent.WritesFinished(decision.answer), now)
        }

        is DomainDecision.ControlGained -> {
            toController(state, ControllerEvent.ControlGained(decision.fencingNumber), now)
        }

        is DomainDecision.ControlLost -> {
            toController(state, ControllerEvent.ControlLost, now)
        }

        is DomainDecision.PlatformReachable -> {
            toController(state, ControllerEvent.PlatformReachable(decision.reachable), now)
        }

        else -> {
            Transition(state)
        }
    }

    private fun then(
        first: DomainStep,
        next: (DomainState) -> DomainStep,
    ): DomainStep {
        val second = next(first.state)
        return Transition(second.state, first.decisions + second.decisions)
    }
}
