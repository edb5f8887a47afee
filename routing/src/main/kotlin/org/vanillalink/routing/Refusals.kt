/*
 * Final refusals: what callers are told, and the time line's record of overload.
 */
package org.vanillalink.routing

import org.vanillalink.model.Refusal
import org.vanillalink.model.RefusalOutcome
import org.vanillalink.model.RefusalReason
import java.time.Duration
import java.time.Instant

/** Gives requests their final refusal at [now]. */
internal class Refusals(
    private val state: RouterState,
    private val now: Instant,
    private val decisions: MutableList<RouterDecision>,
) {
    /** Refuses [request] because it can't be done in time; [tokensAhead] of others go before it. */
    fun refuseForCapacity(
        service: ServiceState,
        request: RoutedRequest,
        estimate: WaitEstimate,
        tokensAhead: Double,
    ) {
        noteCapacity(service, estimate)
        noteOverload(service)
        val reason =
            when {
                request.arrival.deadline <= now -> RefusalReason.DEADLINE_EXCEEDED
                estimate.hasNoCapacityFor(request) -> RefusalReason.NO_SERVING_TARGET
                else -> RefusalReason.OVERLOADED
            }
        give(request, reason, estimate, tokensAhead)
    }

    /** Refuses [request] for another [reason]. */
    fun refuse(
        service: ServiceState,
        request: RoutedRequest,
        reason: RefusalReason,
    ) {
        val estimate = WaitEstimate(state, service, now)
        noteCapacity(service, estimate)
        val arrival = request.arrival
        val ahead = service.queue.costAhead(arrival.priority, arrival.workspace, request.weight)
        give(request, reason, estimate, ahead)
    }

    private fun give(
        request: RoutedRequest,
        reason: RefusalReason,
        estimate: WaitEstimate,
        tokensAhead: Double,
    ) {
        val mayHaveRun = request.mayHaveRun || request.current != null
        val mayAskAgain = request.arrival.repeatable || !mayHaveRun
        val refusal =
            Refusal(
                reason = reason,
                outcome = if (mayHaveRun) RefusalOutcome.UNKNOWN else RefusalOutcome.NOT_RUN,
                detail = reason.title,
                retryAfter = if (mayAskAgain) returnTime(request, estimate, tokensAhead) else null,
            )
        state.requests.remove(request.id)
        decisions.add(RouterDecision.RefuseRequest(request.id, refusal))
    }

    /** Callers of one workspace are told times one after the other, so that not all come back for the same slot. */
    private fun returnTime(
        request: RoutedRequest,
        estimate: WaitEstimate,
        tokensAhead: Double,
    ): Duration {
        val soonest = estimate.retryAfter(request, tokensAhead)
        if (estimate.hasNoCapacityFor(request)) return soonest
        val service = state.service(request.arrival.service)
        val workspace = request.arrival.workspace
        val afterOthers = Duration.between(now, service.nextReturn[workspace] ?: now)
        val told = maxOf(soonest, minOf(afterOthers, LONGEST_SPREAD))
        val part = service.queue.partOf(workspace, request.weight)
        service.nextReturn[workspace] = now.plus(told).plus(estimate.timeInShare(request, part))
        return told
    }

    private fun noteCapacity(
        service: ServiceState,
        estimate: WaitEstimate,
    ) {
        if (!estimate.hasNoCapacity) {
            service.withoutCapacitySince = null
        } else if (service.withoutCapacitySince == null) {
            service.withoutCapacitySince = now
        }
    }

    private fun noteOverload(service: ServiceState) {
        if (service.lastOverloadAt ==
            null
        ) {
            decisions.add(RouterDecision.OverloadBegan(service.name, service.queue.size))
        }
        service.lastOverloadAt = now
        service.overloadRefusals += 1
    }

    private companion object {
        /** Some callers never come back, so times aren't spread without end. */
        val LONGEST_SPREAD: Duration = Duration.ofSeconds(60)
    }
}
