/*
 * Time-based processing at each tick: missed deadlines, queued requests that can no longer meet theirs, expired cache
 * entries and the end of an overload.
 */
package org.vanillalink.routing

import org.vanillalink.model.RefusalReason
import java.time.Duration

/** Processes all requests and services once. */
internal class TickSweep(
    private val state: RouterState,
    private val step: RoutingStep,
) {
    fun run() {
        val overdue = state.requests.values.filter { it.arrival.deadline <= step.now }
        overdue.forEach { refuseOverdue(it) }
        state.services.values.forEach { sweep(it) }
    }

    private fun refuseOverdue(request: RoutedRequest) {
        val service = state.service(request.arrival.service)
        val currentAttempt = request.currentAttempt
        if (currentAttempt == null) {
            service.queue.remove(request)
        } else {
            step.decisions.add(RouterDecision.CancelAttempt(request.id, currentAttempt.number))
        }
        step.refuse(service, request, RefusalReason.DEADLINE_EXCEEDED)
    }

    private fun sweep(service: ServiceState) {
        service.entries.forEach { it.cachedPrefixes.removeExpired(step.now, state.settings.cacheGapRetention) }
        service.entries.removeIf { !it.isListed && it.unitsInUse == 0 }
        step.drainQueue(service)
        step.shedLateRequests(service)
        endOverload(service)
    }

    private fun endOverload(service: ServiceState) {
        val last = service.lastOverloadAt ?: return
        if (Duration.between(last, step.now) < state.settings.overloadQuietPeriod) return
        step.decisions.add(RouterDecision.OverloadEnded(service.name, service.overloadRefusals))
        service.lastOverloadAt = null
        service.overloadRefusals = 0
    }
}
