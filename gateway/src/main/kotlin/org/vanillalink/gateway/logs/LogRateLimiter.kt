/*
 * Limits the rate of log lines, so that logging itself does not overload the daemon. Suppressed lines are counted.
 */
package org.vanillalink.gateway.logs

/** A token bucket of [linesPerSecond] with bursts of [burstLines]. Not thread-safe. */
class LogRateLimiter(
    private val linesPerSecond: Double,
    private val burstLines: Double,
) {
    private var availableLines = burstLines
    private var refilledAt: Long? = null

    /** Lines suppressed since the count was last taken. */
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

    /** Returns the count of suppressed lines and resets it. */
    fun takeSuppressedCount(): Long = suppressedLines.also { suppressedLines = 0 }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0
    }
}
