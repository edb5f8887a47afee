/*
 * Keeps retries a fixed fraction of first attempts, so that they can't multiply load.
 */
package org.vanillalink.routing

/** Counts retries against first attempts; starts with [burst] retries in hand. */
internal class RetryBudget(
    burst: Int,
) {
    private var available = burst.toDouble()

    /** A request had its first attempt. */
    fun earn(settings: RouterSettings) {
        available = minOf(settings.retryBurst.toDouble(), available + settings.retryFraction)
    }

    /** Takes one retry, or returns false where none is left. */
    fun spend(): Boolean {
        if (available < 1) return false
        available -= 1
        return true
    }
}
