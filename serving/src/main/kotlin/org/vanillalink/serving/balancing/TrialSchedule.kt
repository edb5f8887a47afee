/*
 * When a daemon sends a single request to what gives no sign of life, to see whether it does again.
 *
 * All daemons together send about one trial per interval, and the interval grows with the silence. Each draws its own
 * time by how many daemons there are, so that no messages are needed to agree on who sends the next one.
 */
package org.vanillalink.serving.balancing

import kotlin.random.Random

/** Times are milliseconds on the steady clock. Not thread safe. */
class TrialSchedule(
    private val random: Random,
) {
    /** The time of this daemon's next trial after [now], at what has been silent since [since]. */
    fun next(
        since: Long,
        now: Long,
        daemonCount: Int,
    ): Long {
        val interval = ((now - since) / 2).coerceIn(MIN_INTERVAL_MILLISECONDS, MAX_INTERVAL_MILLISECONDS)
        return now + interval / 2 + random.nextLong(2 * interval * maxOf(1, daemonCount))
    }

    companion object {
        private const val MIN_INTERVAL_MILLISECONDS = 500L
        private const val MAX_INTERVAL_MILLISECONDS = 4_000L

        /** How long a trial that is due waits for a request that can have a second attempt. */
        const val HEDGEABLE_WAIT_MILLISECONDS = 2_000L
    }
}
