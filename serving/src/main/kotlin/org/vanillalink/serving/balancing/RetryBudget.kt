/*
 * Bounds how many requests are sent to a second target, so that retries can't multiply load.
 *
 * All daemons together may send a share of the requests once more, and a fixed number beyond. Each daemon counts on its
 * own requests and an even part of the fixed number, so no daemon needs another's word.
 */
package org.vanillalink.serving.balancing

/** The bound for all daemons together, in a window of [windowMilliseconds]. */
data class RetryBudgetSettings(
    val retryRatio: Double,
    val windowMilliseconds: Long,
    val fixedRetries: Double,
)

/** One daemon's part of the budget of one service. Not thread safe. */
class RetryBudget(
    private val settings: RetryBudgetSettings,
) {
    private val requests = ArrayDeque<Long>()
    private val retries = ArrayDeque<Long>()

    /** A caller's request for the service has arrived at [now] (milliseconds, steady clock). */
    fun recordRequest(now: Long) {
        requests.addLast(now)
        removeExpired(now)
    }

    /** Takes one retry out of the budget if [daemonCount] share it; false where it is used up. */
    fun tryAcquire(
        now: Long,
        daemonCount: Int,
    ): Boolean {
        removeExpired(now)
        val maxRetries =
            settings.retryRatio * requests.size * USABLE_FRACTION +
                settings.fixedRetries * USABLE_FRACTION / maxOf(daemonCount, 1)
        if (retries.size >= maxRetries) return false
        retries.addLast(now)
        return true
    }

    private fun removeExpired(now: Long) {
        val windowStart = now - settings.windowMilliseconds
        while (requests.isNotEmpty() && requests.first() < windowStart) requests.removeFirst()
        while (retries.isNotEmpty() && retries.first() < windowStart) retries.removeFirst()
    }

    private companion object {
        /** What is left unused, because daemons don't see the same window. */
        const val USABLE_FRACTION = 0.8
    }
}
