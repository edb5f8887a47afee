/*
 * When refused callers may come back. Those refused together are given successive times, as room is expected for them,
 * with some randomness, so that they don't all come at once again.
 */
package org.vanillalink.serving.balancing

import kotlin.random.Random

/** Times are milliseconds on the steady clock. Not thread safe. */
internal class ReturnTimes(
    private val random: Random,
) {
    private val nextReturnAt = HashMap<Int, Double>()
    private val promised = RecentTimes<RequestFingerprint>(MAX_PROMISES)

    /**
     * Returns after how many milliseconds, at most [limit], the next caller of [urgency] may come back: when the queue
     * has been served, [queued] milliseconds from now, and [interval] after the one refused before it.
     */
    fun assign(
        urgency: Int,
        queued: Double,
        interval: Double,
        limit: Long,
        now: Long,
    ): Long {
        val returnAt = maxOf(now + queued, nextReturnAt[urgency] ?: 0.0)
        val delay = returnAt - now
        if (delay >= limit) return (limit * random.nextDouble(FULL_LIMIT_FROM, 1.0)).toLong()
        nextReturnAt[urgency] = returnAt + interval
        val spread = delay * random.nextDouble(SPREAD_FROM, SPREAD_UNTIL)
        return spread.toLong().coerceIn(minOf(MIN_DELAY_MILLISECONDS, limit), limit)
    }

    fun record(
        fingerprint: RequestFingerprint,
        returnAt: Long,
    ) {
        promised.advance(fingerprint, returnAt)
    }

    fun isBefore(
        fingerprint: RequestFingerprint,
        now: Long,
    ): Boolean = (promised[fingerprint] ?: now) > now

    private companion object {
        const val MAX_PROMISES = 1_000
        const val MIN_DELAY_MILLISECONDS = 100L

        /** A caller that can't be told its true time comes back in the last third of what it honours. */
        const val FULL_LIMIT_FROM = 2.0 / 3
        const val SPREAD_FROM = 0.75
        const val SPREAD_UNTIL = 1.25
    }
}
