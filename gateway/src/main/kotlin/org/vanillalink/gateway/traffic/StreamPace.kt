/*
 * How promptly a stream reached its caller.
 */
package org.vanillalink.gateway.traffic

/** Times of a stream for a request that arrived at [arrivedAt]; all in milliseconds on the steady clock. */
internal class StreamPace(
    private val arrivedAt: Long,
) {
    private var lastAt: Long? = null

    /** From the request's arrival to the first event, or null before it. */
    var firstEvent: Long? = null
        private set

    /** The longest pause between two events so far, or null before the second. */
    var longestPause: Long? = null
        private set

    /** An event was passed on at [now]. */
    fun passedOn(now: Long) {
        if (firstEvent == null) firstEvent = now - arrivedAt
        lastAt?.let { longestPause = maxOf(longestPause ?: 0, now - it) }
        lastAt = now
    }
}
