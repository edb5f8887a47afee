/*
 * How fast a service gets work done, measured from finished attempts.
 *
 * The drain rate is concurrent attempts over their service time (Little's law). Unlike a count of completions it
 * follows a loss of targets at once.
 */
package org.vanillalink.routing

import java.time.Duration
import kotlin.math.sqrt

/** Seconds per estimated token of a service, as a moving average. */
internal class ServicePace {
    private var meanSeconds = 0.0
    private var meanTokens = 0.0

    /** Learns that an attempt at a request of [tokens] took [serviceTime]. */
    fun learn(
        tokens: Int,
        serviceTime: Duration,
    ) {
        val weight = if (meanTokens == 0.0) 1.0 else WEIGHT_OF_NEWEST
        meanSeconds += weight * (serviceTime.toNanos() / NANOSECONDS_PER_SECOND - meanSeconds)
        meanTokens += weight * (tokens - meanTokens)
    }

    /** The seconds that [tokens] take on one target; 0.0 while nothing was measured. */
    fun seconds(tokens: Double): Double = if (meanTokens == 0.0) 0.0 else tokens * meanSeconds / meanTokens

    private companion object {
        const val WEIGHT_OF_NEWEST = 0.05
        const val NANOSECONDS_PER_SECOND = 1e9
    }
}

/**
 * The seconds until [work] (seconds of one slot) is done by [slots] that grow by [growth] a second, or null where they
 * never do it.
 */
internal fun secondsToDrain(
    work: Double,
    slots: Int,
    growth: Double,
): Double? {
    if (work <= 0.0) return if (slots > 0 || growth > 0) 0.0 else null
    if (growth <= 0) return if (slots == 0) null else work / slots
    return (sqrt(slots * slots + 2 * growth * work) - slots) / growth
}
