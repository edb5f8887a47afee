/*
 * Bounds how many requests are sent to a second target, so that retries can't multiply load.
 *
 * All daemons together may send a share of the requests once more, and a fixed number beyond. Each daemon counts on its
 * own requests and an even part of the fixed number, so no daemon needs another's word.
 */
package org.vanillalink.serving.choice

/** The bound for all daemons together, in a window of [windowMilliseconds]. */
data class RetryBudgetSettings(
    val ratio: Double,
    val windowMilliseconds: Long,
    val slack: Double,
)

/** One daemon's part of the budget of one service. Not thread safe. */
class RetryBudget(
    private val settings: RetryBudgetSettings,
) {
    private val requests = ArrayDeque<Long>()
    private val retries = ArrayDeque<Long>()

    /** A caller's request for the service has arrived at [now] (milliseconds, steady clock). */
    fun requested(now: Long) {
        requests.addLast(now)
        forget(now)
    }

    /** Takes one retry out of the budget if [daemons] share it; false where it is used up. */
    fun take(
        now: Long,
        daemons: Int,
    ): Boolean {
        forget(now)
        val allowed = settings.ratio * requests.size * SAFETY + settings.slack * SAFETY / maxOf(daemons, 1)
        if (retries.size >= allowed) return false
        retries.addLast(now)
        return true
    }

    private fun forget(now: Long) {
        val oldest = now - settings.windowMilliseconds
        while (requests.isNotEmpty() && requests.first() < oldest) requests.removeFirst()
        while (retries.isNotEmpty() && retries.first() < oldest) retries.removeFirst()
    }

    private companion object {
        /** What is left unused, because daemons don't see the same window. */
        const val SAFETY = 0.8
    }
}
