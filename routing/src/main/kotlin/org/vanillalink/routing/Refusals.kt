/*
 * Final refusals of requests, with their retry-after times, and the timeline's overload records.
 */
package org.vanillalink.routing

import org.vanillalink.model.Refusal
import org.vanillalink.model.RefusalOutcome
import org.vanillalink.model.RefusalReason
import java.time.Duration
import java.time.Instant

/** Issues the final refusals of requests at [now]. */
internal class Refusals(
    private val state: RouterState,
    private val now: Instant,
    private val decisions: MutableList<RouterDecision>,
) {
    /** Refuses [request] because it can't meet its deadline; [tokensAhead] is the cost of requests served before it. */
    fun refuseForCapacity(
        service: ServiceState,
        request: RoutedRequest,
        estimate: WaitEstimate,
        tokensAhead: Double,
    ) {
        updateCapacityLoss(service, estimate)
        recordOverload(service)
        val reason =
            when {
                request.arrival.deadline <= now -> RefusalReason.DEADLINE_EXCEEDED
                estimate.hasNoCapacityFor(request) -> RefusalReason.NO_SERVING_TARGET
                else -> RefusalReason.OVERLOADED
            }
        issue(request, reason, estimate, tokensAhead)
    }

    /** Refuses [request] for a [reason] other than lack of capacity. */
    fun refuse(
        service: ServiceState,
        request: RoutedRequest,
        reason: RefusalReason,
    ) {
        val estimate = WaitEstimate(state, service, now)
        updateCapacityLoss(service, estimate)
        val arrival = request.arrival
        val tokensAhead = service.queue.costAhead(arrival.priority, arrival.workspace, request.weight)
        issue(request, reason, estimate, tokensAhead)
    }

    private fun issue(
        request: RoutedRequest,
        reason: RefusalReason,
        estimate: WaitEstimate,
        tokensAhead: Double,
    ) {
        val mayHaveRun = request.mayHaveRun || request.currentAttempt != null
        val mayRetry = request.arrival.repeatable || !mayHaveRun
        val refusal =
            Refusal(
                reason = reason,
                outcome = if (mayHaveRun) RefusalOutcome.UNKNOWN else RefusalOutcome.NOT_RUN,
                detail = reason.title,
                retryAfter = if (mayRetry) assignRetryAfter(request, estimate, tokensAhead) else null,
            )
        state.requests.remove(request.id)
        decisions.add(RouterDecision.RefuseRequest(request.id, refusal))
    }

    /** Staggers the retry-after times of one workspace's callers, so that they do not retry for the same slot. */
    private fun assignRetryAfter(
        request: RoutedRequest,
        estimate: WaitEstimate,
        tokensAhead: Double,
    ): Duration {
        val earliest = estimate.retryAfter(request, tokensAhead)
        if (estimate.hasNoCapacityFor(request)) return earliest
        val service = state.service(request.arrival.service)
        val workspace = request.arrival.workspace
        val delayAfterEarlierCallers = Duration.between(now, service.nextRetryAt[workspace] ?: now)
        val delay = maxOf(earliest, minOf(delayAfterEarlierCallers, MAX_RETRY_SPREAD))
        val fraction = service.queue.shareFraction(workspace, request.weight)
        service.nextRetryAt[workspace] = now.plus(delay).plus(estimate.serviceTimeInShare(request, fraction))
        return delay
    }

    private fun updateCapacityLoss(
        service: ServiceState,
        estimate: WaitEstimate,
    ) {
        if (!estimate.hasNoCapacity) {
            service.noCapacitySince = null
        } else if (service.noCapacitySince == null) {
            service.noCapacitySince = now
        }
    }

    private fun recordOverload(service: ServiceState) {
        if (service.lastOverloadAt ==
            null
        ) {
            decisions.add(RouterDecision.OverloadBegan(service.name, service.queue.size))
        }
        service.lastOverloadAt = now
        service.overloadRefusals += 1
    }

    private companion object {
        /** Bounds the staggering, because some callers never retry. */
        val MAX_RETRY_SPREAD: Duration = Duration.ofSeconds(60)
    }
}
