/*
 * Limits how many requests are retried at another target, so that retries can't multiply the load.
 *
 * All daemons together may retry a fraction of the requests, plus a fixed number. Each daemon applies the fraction to
 * its own requests and takes an equal share of the fixed number, so the daemons need no coordination.
 */
package org.vanillalink.serving.balancing

/** Limits for all daemons together, per window of [windowMilliseconds]. */
data class RetryBudgetSettings(
    val retryRatio: Double,
    val windowMilliseconds: Long,
    val fixedRetries: Double,
)

/** This daemon's share of one service's retry budget. Not thread safe. */
class RetryBudget(
    private val settings: RetryBudgetSettings,
) {
    private val requests = ArrayDeque<Long>()
    private val retries = ArrayDeque<Long>()

    /** Records a caller's request for the service at [now] (milliseconds on the steady clock). */
    fun recordRequest(now: Long) {
        requests.addLast(now)
        removeExpired(now)
    }

    /** Takes one retry from the budget that [daemonCount] daemons share; returns false if it is used up. */
    fun tryAcquire(
        now: Long,
        daemonCount: Int,
    ): Boolean {
        val isAvailable = isAvailable(now, daemonCount)
        if (isAvailable) retries.addLast(now)
        return isAvailable
    }

    /** Whether a retry is left in [share] of the budget that [daemonCount] daemons share. */
    fun isAvailable(
        now: Long,
        daemonCount: Int,
        share: Double = 1.0,
    ): Boolean {
        removeExpired(now)
        val maxRetries =
            settings.retryRatio * requests.size * USABLE_FRACTION +
                settings.fixedRetries * USABLE_FRACTION / maxOf(daemonCount, 1)
        return retries.size < maxRetries * share
    }

    private fun removeExpired(now: Long) {
        val windowStart = now - settings.windowMilliseconds
        while (requests.isNotEmpty() && requests.first() < windowStart) requests.removeFirst()
        while (retries.isNotEmpty() && retries.first() < windowStart) retries.removeFirst()
    }

    private companion object {
        /** The rest stays unused as a margin, because the daemons' windows don't coincide. */
        const val USABLE_FRACTION = 0.8
    }
}
