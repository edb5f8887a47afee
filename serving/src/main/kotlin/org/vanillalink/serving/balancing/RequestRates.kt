/*
 * What one daemon has lately seen of the requests for a model or a plain service: how many arrived and started by
 * priority, how many were answered, and how long that took.
 */
package org.vanillalink.serving.balancing

import java.util.TreeMap
import kotlin.math.exp

/** Rates are in tokens per millisecond, times in milliseconds. A higher urgency is more urgent. Not thread safe. */
internal class RequestRates {
    private class ClassRates {
        val arrivedCost = DecayingSum(RATE_TIME_CONSTANT_MILLISECONDS)
        val arrivals = DecayingSum(SHARE_TIME_CONSTANT_MILLISECONDS)
        val starts = DecayingSum(SHARE_TIME_CONSTANT_MILLISECONDS)
    }

    private val classes = TreeMap<Int, ClassRates>()
    private val answeredCost = DecayingSum(RATE_TIME_CONSTANT_MILLISECONDS)
    private val costs = DecayingMean(SHARE_TIME_CONSTANT_MILLISECONDS)
    private val firstAnswerTimes = DecayingMean(SHARE_TIME_CONSTANT_MILLISECONDS)
    private val answerTimes = DecayingMean(SHARE_TIME_CONSTANT_MILLISECONDS)
    private var firstArrivalAt: Long? = null

    fun recordArrival(
        urgency: Int,
        cost: Double,
        now: Long,
    ) {
        firstArrivalAt = firstArrivalAt ?: now
        val rates = classes.getOrPut(urgency) { ClassRates() }
        rates.arrivals.add(1.0, now)
        rates.arrivedCost.add(cost, now)
        costs.add(cost, now)
    }

    fun recordStart(
        urgency: Int,
        now: Long,
    ) = classes.getOrPut(urgency) { ClassRates() }.starts.add(1.0, now)

    /** Records that the first part of an answer was received [milliseconds] after its request was sent. */
    fun recordFirstAnswer(
        milliseconds: Long,
        now: Long,
    ) = firstAnswerTimes.add(milliseconds.toDouble(), now)

    /** Records the end of an answer, [milliseconds] after its request was sent. */
    fun recordAnswer(
        cost: Double,
        milliseconds: Long,
        now: Long,
    ) {
        answeredCost.add(cost, now)
        answerTimes.add(milliseconds.toDouble(), now)
    }

    /** The cost of the requests that are answered. */
    fun answered(now: Long): Double = perMillisecond(answeredCost, now)

    /** The cost of arrivals more urgent than [urgency], and of its own with [isInclusive]. */
    fun arrived(
        urgency: Int,
        isInclusive: Boolean,
        now: Long,
    ): Double = classes.tailMap(urgency, isInclusive).values.sumOf { perMillisecond(it.arrivedCost, now) }

    fun meanCost(now: Long): Double = maxOf(1.0, costs.value(now))

    fun firstAnswerTime(now: Long): Double = firstAnswerTimes.value(now)

    fun answerTime(now: Long): Double = answerTimes.value(now)

    /** The urgencies of the requests that have lately arrived, the least urgent first. */
    fun recentUrgencies(now: Long): List<Int> =
        classes.filterValues { it.arrivals.value(now) >= RECENT_ARRIVALS }.keys.toList()

    /** The part of the room that requests of [urgency] get for certain. */
    fun certainFraction(
        urgency: Int,
        now: Long,
    ): Double = certainFraction(listOfNotNull(classes[urgency]), now)

    /** The part of the room that requests less urgent than [urgency] get for certain. */
    fun certainFractionBelow(
        urgency: Int,
        now: Long,
    ): Double = certainFraction(classes.headMap(urgency).values, now)

    private fun certainFraction(
        among: Collection<ClassRates>,
        now: Long,
    ): Double {
        val all = classes.values.sumOf { it.arrivedCost.value(now) }
        return if (all > 0) among.sumOf { it.arrivedCost.value(now) } / all * MIN_RELATIVE_SHARE else 0.0
    }

    /** Whether requests of [urgency] are so seldom started, compared with all, that one of them goes first now. */
    fun isUnderserved(
        urgency: Int,
        now: Long,
    ): Boolean {
        val own = classes[urgency] ?: return false
        val arrivals = classes.values.sumOf { it.arrivals.value(now) }
        val starts = classes.values.sumOf { it.starts.value(now) }
        return own.starts.value(now) + 1 < own.arrivals.value(now) * MIN_RELATIVE_SHARE * starts / maxOf(1.0, arrivals)
    }

    private fun perMillisecond(
        sum: DecayingSum,
        now: Long,
    ): Double {
        val observed = maxOf(MIN_OBSERVED_MILLISECONDS, now - (firstArrivalAt ?: now)).toDouble()
        val effective = 1 - exp(-observed / RATE_TIME_CONSTANT_MILLISECONDS)
        return sum.value(now) / (RATE_TIME_CONSTANT_MILLISECONDS * effective)
    }

    private companion object {
        /** Follows the loss of a failure domain within the goals of most callers. */
        const val RATE_TIME_CONSTANT_MILLISECONDS = 2_000.0
        const val SHARE_TIME_CONSTANT_MILLISECONDS = 20_000.0
        const val MIN_OBSERVED_MILLISECONDS = 500L

        /** What is left of one arrival after about a minute. */
        const val RECENT_ARRIVALS = 0.05

        /** Less urgent requests are started at least a third as often as all. */
        const val MIN_RELATIVE_SHARE = 1.0 / 3
    }
}
