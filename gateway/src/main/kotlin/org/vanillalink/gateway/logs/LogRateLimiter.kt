/*
 * Bounds how many lines are written, so that logging never becomes the load itself. What is left out is counted.
 */
package org.vanillalink.gateway.logs

/** Allows [linesPerSecond] lines, and [burstLines] at once. Used from one thread. */
class LogRateLimiter(
    private val linesPerSecond: Double,
    private val burstLines: Double,
) {
    private var availableLines = burstLines
    private var refilledAt: Long? = null

    /** Lines left out since the last one that was written. */
    var suppressedLines: Long = 0
        private set

    /** Whether a line may be written at [now] (milliseconds). */
    fun tryAcquire(now: Long): Boolean {
        refilledAt?.let {
            availableLines = minOf(burstLines, availableLines + (now - it) * linesPerSecond / MILLISECONDS_PER_SECOND)
        }
        refilledAt = now
        if (availableLines < 1) {
            suppressedLines += 1
            return false
        }
        availableLines -= 1
        return true
    }

    /** The count of lines left out, which starts again. */
    fun takeSuppressedCount(): Long = suppressedLines.also { suppressedLines = 0 }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0
    }
}
