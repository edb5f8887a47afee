/*
 * How long a request of one service would wait now.
 */
package org.vanillalink.routing

import java.time.Duration
import java.time.Instant
import kotlin.math.ceil

/** An estimate from the slots in use, the measured pace and the expected growth at [now]. */
internal class WaitEstimate(
    private val state: RouterState,
    private val service: ServiceState,
    private val now: Instant,
) {
    private val localSlots: Int by lazy { countLocalSlots() }

    /** Slots that are going to be free again for this daemon's requests, here and elsewhere. */
    private val slots: Int by lazy { maxOf(localSlots + service.forwarded, if (servesElsewhere()) 1 else 0) }
    private val growth: Double = service.expected?.unitsPerSecond ?: 0.0

    /** Whether nothing that [request] may use serves or is expected to. */
    fun hasNoCapacityFor(request: RoutedRequest): Boolean = slotsFor(request) == 0 && growth <= 0

    /** Whether neither here nor elsewhere anything serves or is expected to. */
    val hasNoCapacity: Boolean get() = slots == 0 && growth <= 0

    /** How long the workspace's share of the slots takes for [request]; zero where nothing is known. */
    fun timeInShare(
        request: RoutedRequest,
        part: Double,
    ): Duration {
        val seconds = secondsToDrain(service.pace.seconds(request.cost) / part, slots, growth) ?: 0.0
        return Duration.ofMillis((seconds * MILLISECONDS_PER_SECOND).toLong())
    }

    /** Whether [request] can't end before its deadline when [tokensAhead] go first. */
    fun isTooLate(
        request: RoutedRequest,
        tokensAhead: Double,
    ): Boolean {
        val wait = waitSeconds(request, tokensAhead + request.cost) ?: return true
        return wait + serviceSeconds(request) > secondsLeft(request)
    }

    /** Whether [request] can't end before its deadline even if it starts now. */
    fun isTooLateToStart(request: RoutedRequest): Boolean {
        val left = secondsLeft(request)
        return left <= 0 || serviceSeconds(request) > left
    }

    /**
     * How long to wait before a request like [request] would be taken in: until so much of the queue is done that it
     * would meet its deadline. Where nothing serves, until the next probe; without a probe, as long again as it lasted.
     */
    fun retryAfter(
        request: RoutedRequest,
        tokensAhead: Double,
    ): Duration {
        val wait = waitSeconds(request, tokensAhead + request.cost) ?: return untilCapacityReturns()
        val given = Duration.between(now, request.arrival.deadline).toMillis() / MILLISECONDS_PER_SECOND
        val bearable = maxOf(0.0, given - serviceSeconds(request))
        val nextSlot = waitSeconds(request, request.cost) ?: 0.0
        val milliseconds = wholeSlots(wait - bearable, nextSlot) * MILLISECONDS_PER_SECOND
        return Duration.ofMillis(milliseconds.toLong()).coerceIn(SHORTEST, LONGEST)
    }

    /** Slots become free one by one, so a part of the time between two of them is rounded up to the whole. */
    private fun wholeSlots(
        seconds: Double,
        nextSlot: Double,
    ): Double = if (nextSlot <= 0.0) seconds else maxOf(1.0, ceil(seconds / nextSlot)) * nextSlot

    private fun untilCapacityReturns(): Duration {
        val probe = service.expected?.nextProbeAt
        if (probe != null && probe > now) return Duration.between(now, probe)
        val since = service.withoutCapacitySince ?: now
        return Duration.between(since, now).coerceIn(SHORTEST, LONGEST)
    }

    private fun waitSeconds(
        request: RoutedRequest,
        tokens: Double,
    ): Double? = secondsToDrain(service.pace.seconds(tokens), slotsFor(request), growth)

    private fun serviceSeconds(request: RoutedRequest): Double = service.pace.seconds(request.cost) * SAFETY_FACTOR

    private fun secondsLeft(request: RoutedRequest): Double =
        Duration.between(now, request.arrival.deadline).toMillis() / MILLISECONDS_PER_SECOND

    /** A forwarded request can't leave this domain again. */
    private fun slotsFor(request: RoutedRequest): Int = if (request.arrival.forwarded) localSlots else slots

    private fun countLocalSlots(): Int {
        var inUse = 0
        var serves = false
        for (entry in service.entries) {
            if (!state.isUsable(entry)) continue
            inUse += entry.inUse
            serves = serves || entry.candidate.capacity > 0
        }
        return maxOf(inUse, if (serves) 1 else 0)
    }

    private fun servesElsewhere(): Boolean = service.remotes.values.any { remote ->
        val capacity = remote.capacity
        val age = Duration.between(capacity.reportedAt, now)
        capacity.servingGroups > 0 && capacity.failureDomain !in state.outDomains &&
            age <= state.settings.remoteReportFresh
    }

    private companion object {
        /** Single requests take longer than the mean. */
        const val SAFETY_FACTOR = 1.15
        const val MILLISECONDS_PER_SECOND = 1_000.0
        val SHORTEST: Duration = Duration.ofMillis(100)
        val LONGEST: Duration = Duration.ofMinutes(10)
    }
}
