/*
 * Measures the scheduling delay of periodic work on a thread. A delayed traffic thread delays requests, responses and
 * the detection of disconnected callers.
 */
package org.vanillalink.gateway.logs

import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import java.time.Duration

/** Monitors the thread named [loop], and is confined to it. Times are milliseconds on the steady clock. */
internal class LoopDelayMonitor(
    private val loop: String,
    registry: MeterRegistry,
    private val eventLogger: EventLogger,
    private val usageMeter: UsageMeter,
) {
    @Suppress("SpreadOperator")
    private val timer =
        Timer
            .builder("vanillalink.loop.delay")
            .tag("loop", loop)
            .serviceLevelObjectives(*HISTOGRAM_BUCKETS)
            .register(registry)
    private var previousUsage = ProcessUsage()

    /** The maximum delay within the last one to two seconds. */
    @Volatile
    var recentMaxMilliseconds = 0L
        private set
    private var windowMaxMilliseconds = 0L
    private var windowStartedAt = 0L

    /** Records that work due at [dueAt] starts at [now]. */
    fun recordStart(
        dueAt: Long,
        now: Long,
    ) {
        val delay = maxOf(0, now - dueAt)
        timer.record(Duration.ofMillis(delay))
        updateRecentMax(delay, now)
        val usage = usageMeter.read()
        val usedSincePrevious = usage - previousUsage
        previousUsage = usage
        if (delay < LOG_THRESHOLD_MILLISECONDS) return
        eventLogger.record(
            "loop-late",
            "loop" to loop,
            "delayMs" to delay,
            "processorMs" to usedSincePrevious.processorTime.toMillis(),
            "collectionMs" to usedSincePrevious.collectionTime.toMillis(),
        )
    }

    private fun updateRecentMax(
        delay: Long,
        now: Long,
    ) {
        if (now - windowStartedAt > WINDOW_MILLISECONDS) {
            windowStartedAt = now
            recentMaxMilliseconds = windowMaxMilliseconds
            windowMaxMilliseconds = 0
        }
        windowMaxMilliseconds = maxOf(windowMaxMilliseconds, delay)
        recentMaxMilliseconds = maxOf(recentMaxMilliseconds, delay)
    }

    private companion object {
        /** A fifth of the time within which work must be cancelled after its caller disconnects. */
        const val LOG_THRESHOLD_MILLISECONDS = 100L
        const val WINDOW_MILLISECONDS = 1_000L
        val HISTOGRAM_BUCKETS: Array<Duration> =
            listOf(5L, 20L, 50L, 100L, 200L, 500L, 1_000L, 2_000L).map(Duration::ofMillis).toTypedArray()
    }
}
