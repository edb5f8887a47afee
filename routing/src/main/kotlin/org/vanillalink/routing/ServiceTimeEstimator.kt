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
internal class ServiceTimeEstimator {
    private var meanSeconds = 0.0
    private var meanTokens = 0.0

    /** Learns that an attempt at a request of [tokens] took [serviceTime]. */
    fun recordAttempt(
        tokens: Int,
        serviceTime: Duration,
    ) {
        val weight = if (meanTokens == 0.0) 1.0 else NEWEST_WEIGHT
        meanSeconds += weight * (serviceTime.toNanos() / NANOSECONDS_PER_SECOND - meanSeconds)
        meanTokens += weight * (tokens - meanTokens)
    }

    /** The seconds that [tokens] take on one target; 0.0 while nothing was measured. */
    fun estimateSeconds(tokens: Double): Double = if (meanTokens == 0.0) 0.0 else tokens * meanSeconds / meanTokens

    private companion object {
        const val NEWEST_WEIGHT = 0.05
        const val NANOSECONDS_PER_SECOND = 1e9
    }
}

/**
 * The seconds until [work] (seconds of one slot) is done by [slots] that grow by [growth] a second, or null where they
 * never do it.
 */
internal fun secondsToDrain(
    workSeconds: Double,
    slots: Int,
    slotGrowth: Double,
): Double? {
    if (workSeconds <= 0.0) return if (slots > 0 || slotGrowth > 0) 0.0 else null
    if (slotGrowth <= 0) return if (slots == 0) null else workSeconds / slots
    return (sqrt(slots * slots + 2 * slotGrowth * workSeconds) - slots) / slotGrowth
}
