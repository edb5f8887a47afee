/*
 * The routing aggregate of one daemon: target selection, queueing, fair shares, deadlines, retries and failure domains.
 *
 * It is confined to the control thread. Routing a request costs one scan over its service's candidates.
 */
package org.vanillalink.routing

import org.vanillalink.configuration.FailureDomainState
import org.vanillalink.model.Aggregate
import org.vanillalink.model.Transition
import java.time.Instant

/**
 * Decides which target or daemon gets each request. The state is mutated in place, and the transition returns the same
 * object. Request identifiers are never reused: a caller's retry is a new request. The code that feeds requests has
 * already checked that their services exist.
 */
class Router : Aggregate<RouterState, RouterEvent, RouterDecision> {
    override fun handle(
        state: RouterState,
        event: RouterEvent,
        now: Instant,
    ): Transition<RouterState, RouterDecision> {
        val step = RoutingStep(state, now)
        apply(event, step, state)
        return Transition(state, step.decisions)
    }

    private fun apply(
        event: RouterEvent,
        step: RoutingStep,
        state: RouterState,
    ) {
        val candidates = CandidateUpdates(state, step)
        val outcomes = AttemptOutcomes(state, step)
        when (event) {
            is RouterEvent.RequestArrived -> step.routeRequest(event)
            is RouterEvent.RequestCancelled -> outcomes.cancelRequest(event.request)
            is RouterEvent.CandidatesChanged -> candidates.replaceAll(event.service, event.candidates)
            is RouterEvent.CandidateUpdated -> candidates.update(event.candidate)
            is RouterEvent.CandidateRemoved -> candidates.remove(event.service, event.host)
            is RouterEvent.RemoteCapacityReported -> candidates.updateRemote(event.capacity)
            is RouterEvent.RemoteDaemonLost -> candidates.removeRemote(event.daemon)
            is RouterEvent.CacheEventsReceived -> candidates.applyCacheEvents(event)
            is RouterEvent.FailureDomainStateChanged -> changeFailureDomain(event, step, state)
            is RouterEvent.CapacityExpected -> candidates.setExpectedCapacity(event)
            is RouterEvent.AttemptFinished -> outcomes.finish(event)
            is RouterEvent.AttemptFailed -> outcomes.fail(event)
            is RouterEvent.AttemptExecutionEnded -> outcomes.endExecution(event)
            is RouterEvent.SettingsChanged -> state.settings = event.settings
            RouterEvent.Tick -> TickSweep(state, step).run()
        }
    }

    private fun changeFailureDomain(
        event: RouterEvent.FailureDomainStateChanged,
        step: RoutingStep,
        state: RouterState,
    ) {
        when (event.state) {
            FailureDomainState.OUT -> state.outDomains.add(event.failureDomain)
            FailureDomainState.IN -> if (state.outDomains.remove(event.failureDomain)) recordReturn(event, step, state)
        }
        state.services.values.forEach {
            step.drainQueue(it)
            step.shedLateRequests(it)
        }
    }

    private fun recordReturn(
        event: RouterEvent.FailureDomainStateChanged,
        step: RoutingStep,
        state: RouterState,
    ) {
        state.returnedAt[event.failureDomain] = step.now
    }
}
