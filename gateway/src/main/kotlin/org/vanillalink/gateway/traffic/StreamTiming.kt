/*
 * Latency measurements of a stream.
 */
package org.vanillalink.gateway.traffic

/** Timing of the stream for a request that arrived at [arrivedAt], in milliseconds on the steady clock. */
internal class StreamTiming(
    private val arrivedAt: Long,
) {
    private var lastEventAt: Long? = null

    /** Time from the request's arrival to the first event, or null before it. */
    var firstEventMilliseconds: Long? = null
        private set

    /** The longest pause between two events so far, or null before the second. */
    var longestPauseMilliseconds: Long? = null
        private set

    /** Records that an event was passed on at [now]. */
    fun recordEvent(now: Long) {
        if (firstEventMilliseconds == null) firstEventMilliseconds = now - arrivedAt
        lastEventAt?.let { longestPauseMilliseconds = maxOf(longestPauseMilliseconds ?: 0, now - it) }
        lastEventAt = now
    }
}
