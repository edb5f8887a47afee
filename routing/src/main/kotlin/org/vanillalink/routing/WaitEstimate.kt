/*
 * Estimates of how long requests of one service wait in the queue.
 */
package org.vanillalink.routing

import java.time.Duration
import java.time.Instant
import kotlin.math.ceil

/** An estimate at [now] from the slots in use, the estimated service time and the expected growth of capacity. */
internal class WaitEstimate(
    private val state: RouterState,
    private val service: ServiceState,
    private val now: Instant,
) {
    private val localSlots: Int by lazy { countLocalSlots() }

    /** Slots that this daemon's requests will be able to reuse, in this and in other failure domains. */
    private val slots: Int by lazy { maxOf(localSlots + service.forwardedCount, if (isServedRemotely()) 1 else 0) }
    private val slotGrowth: Double = service.expectedCapacity?.unitsPerSecond ?: 0.0

    /** Whether nothing that [request] may use has capacity or is expected to gain any. */
    fun hasNoCapacityFor(request: RoutedRequest): Boolean = slotsFor(request) == 0 && slotGrowth <= 0

    /** Whether no failure domain has capacity and none is expected. */
    val hasNoCapacity: Boolean get() = slots == 0 && slotGrowth <= 0

    /** Returns how long [fraction] of the slots takes to serve [request]; zero if no estimate is possible. */
    fun serviceTimeInShare(
        request: RoutedRequest,
        fraction: Double,
    ): Duration {
        val seconds =
            secondsToDrain(service.serviceTimes.estimateSeconds(request.cost) / fraction, slots, slotGrowth) ?: 0.0
        return Duration.ofMillis((seconds * MILLISECONDS_PER_SECOND).toLong())
    }

    /** Whether [request] can't end before its deadline if [tokensAhead] are served first. */
    fun isTooLate(
        request: RoutedRequest,
        tokensAhead: Double,
    ): Boolean {
        val queueSeconds = waitSeconds(request, tokensAhead + request.cost) ?: return true
        return queueSeconds + serviceSeconds(request) > secondsLeft(request)
    }

    /** Whether [request] can't end before its deadline even if it starts now. */
    fun isTooLateToStart(request: RoutedRequest): Boolean {
        val remainingSeconds = secondsLeft(request)
        return remainingSeconds <= 0 || serviceSeconds(request) > remainingSeconds
    }

    /**
     * Returns the time after which a request like [request] would be accepted: when enough of the queue has been served
     * for it to meet its deadline. Without capacity, it is the time until the next probe or, if none is planned, as
     * long as capacity has been missing so far.
     */
    fun retryAfter(
        request: RoutedRequest,
        tokensAhead: Double,
    ): Duration {
        val queueSeconds = waitSeconds(request, tokensAhead + request.cost) ?: return timeUntilCapacity()
        val allowedSeconds = Duration.between(now, request.arrival.deadline).toMillis() / MILLISECONDS_PER_SECOND
        val maxWaitSeconds = maxOf(0.0, allowedSeconds - serviceSeconds(request))
        val nextSlot = waitSeconds(request, request.cost) ?: 0.0
        val milliseconds = roundUpToSlots(queueSeconds - maxWaitSeconds, nextSlot) * MILLISECONDS_PER_SECOND
        return Duration.ofMillis(milliseconds.toLong()).coerceIn(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /** Slots become free one by one, so the time is rounded up to a multiple of [nextSlot]. */
    private fun roundUpToSlots(
        seconds: Double,
        nextSlot: Double,
    ): Double = if (nextSlot <= 0.0) seconds else maxOf(1.0, ceil(seconds / nextSlot)) * nextSlot

    private fun timeUntilCapacity(): Duration {
        val probe = service.expectedCapacity?.nextProbeAt
        if (probe != null && probe > now) return Duration.between(now, probe)
        val since = service.noCapacitySince ?: now
        return Duration.between(since, now).coerceIn(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    private fun waitSeconds(
        request: RoutedRequest,
        tokens: Double,
    ): Double? = secondsToDrain(service.serviceTimes.estimateSeconds(tokens), slotsFor(request), slotGrowth)

    private fun serviceSeconds(request: RoutedRequest): Double =
        service.serviceTimes.estimateSeconds(request.cost) * SERVICE_TIME_MARGIN

    private fun secondsLeft(request: RoutedRequest): Double =
        Duration.between(now, request.arrival.deadline).toMillis() / MILLISECONDS_PER_SECOND

    /** A forwarded request can use only local slots, because it can't be forwarded again. */
    private fun slotsFor(request: RoutedRequest): Int = if (request.arrival.forwarded) localSlots else slots

    private fun countLocalSlots(): Int {
        var unitsInUse = 0
        var hasServingTarget = false
        for (entry in service.entries) {
            if (!state.isUsable(entry)) continue
            unitsInUse += entry.unitsInUse
            hasServingTarget = hasServingTarget || entry.candidate.capacity > 0
        }
        return maxOf(unitsInUse, if (hasServingTarget) 1 else 0)
    }

    private fun isServedRemotely(): Boolean = service.remotes.values.any { remote ->
        val capacity = remote.capacity
        val age = Duration.between(capacity.reportedAt, now)
        capacity.servingGroups > 0 && capacity.failureDomain !in state.outDomains &&
            age <= state.settings.remoteReportFreshness
    }

    private companion object {
        /** Single requests may take longer than the mean. */
        const val SERVICE_TIME_MARGIN = 1.15
        const val MILLISECONDS_PER_SECOND = 1_000.0
        val MIN_RETRY_AFTER: Duration = Duration.ofMillis(100)
        val MAX_RETRY_AFTER: Duration = Duration.ofMinutes(10)
    }
}
