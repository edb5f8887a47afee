/*
 * Limits retries to a fixed fraction of first attempts, so that they can't multiply the load.
 */
package org.vanillalink.routing

/** Counts retries against first attempts; [burst] retries are available at the start. */
internal class RetryBudget(
    burst: Int,
) {
    private var available = burst.toDouble()

    /** Credits the budget for the first attempt of a request. */
    fun earn(settings: RouterSettings) {
        available = minOf(settings.retryBurst.toDouble(), available + settings.retryFraction)
    }

    /** Takes one retry from the budget, or returns false if none is available. */
    fun spend(): Boolean {
        if (available < 1) return false
        available -= 1
        return true
    }
}
