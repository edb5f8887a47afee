/*
 * Bounds how many lines are written, so that logging never becomes the load itself. What is left out is counted.
 */
package org.vanillalink.gateway.logs

/** Allows [perSecond] lines, and [burst] at once. Used from one thread. */
class LineBudget(
    private val perSecond: Double,
    private val burst: Double,
) {
    private var available = burst
    private var filledAt: Long? = null

    /** Lines left out since the last one that was written. */
    var suppressed: Long = 0
        private set

    /** Whether a line may be written at [now] (milliseconds). */
    fun take(now: Long): Boolean {
        filledAt?.let { available = minOf(burst, available + (now - it) * perSecond / MILLISECONDS_PER_SECOND) }
        filledAt = now
        if (available < 1) {
            suppressed += 1
            return false
        }
        available -= 1
        return true
    }

    /** The count of lines left out, which starts again. */
    fun takeSuppressed(): Long = suppressed.also { suppressed = 0 }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0
    }
}
