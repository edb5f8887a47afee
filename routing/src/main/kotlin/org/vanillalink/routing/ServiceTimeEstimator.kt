/*
 * Estimates of service time, from finished attempts, and of the time to drain a queue.
 *
 * The drain rate is the number of concurrent attempts over their service time (Little's law). Unlike a completion rate,
 * it reflects a loss of targets immediately.
 */
package org.vanillalink.routing

import java.time.Duration
import kotlin.math.sqrt

/** Exponential moving average of a service's seconds per estimated token. */
internal class ServiceTimeEstimator {
    private var meanSeconds = 0.0
    private var meanTokens = 0.0

    /** Records that an attempt of a request with [tokens] estimated tokens took [serviceTime]. */
    fun recordAttempt(
        tokens: Int,
        serviceTime: Duration,
    ) {
        val weight = if (meanTokens == 0.0) 1.0 else NEWEST_WEIGHT
        meanSeconds += weight * (serviceTime.toNanos() / NANOSECONDS_PER_SECOND - meanSeconds)
        meanTokens += weight * (tokens - meanTokens)
    }

    /** Returns the seconds that [tokens] take in one slot; 0.0 before the first recorded attempt. */
    fun estimateSeconds(tokens: Double): Double = if (meanTokens == 0.0) 0.0 else tokens * meanSeconds / meanTokens

    private companion object {
        const val NEWEST_WEIGHT = 0.05
        const val NANOSECONDS_PER_SECOND = 1e9
    }
}

/**
 * Returns the seconds until [slots] slots, whose number grows by [slotGrowth] per second, complete [workSeconds] (slot
 * seconds), or null if they never do.
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
