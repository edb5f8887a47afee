/*
 * Measures how late a thread gets to its repeated work. A late traffic thread is late with everything: with requests,
 * with answers, and with noticing that a caller has left.
 */
package org.vanillalink.gateway.logs

import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import java.time.Duration

/** Watches one thread, named [loop]; called on that thread only. Times are milliseconds on the steady clock. */
internal class LoopDelay(
    private val loop: String,
    registry: MeterRegistry,
    private val lines: EventLines,
    private val meter: UsageMeter,
) {
    @Suppress("SpreadOperator")
    private val timer =
        Timer
            .builder("vanillalink.loop.delay")
            .tag("loop", loop)
            .serviceLevelObjectives(*BUCKETS)
            .register(registry)
    private var before = ProcessUsage()

    /** The greatest delay within the last second or two. */
    @Volatile
    var recent = 0L
        private set
    private var current = 0L
    private var secondBegan = 0L

    /** Work that was due at [due] begins at [now]. */
    fun began(
        due: Long,
        now: Long,
    ) {
        val delay = maxOf(0, now - due)
        timer.record(Duration.ofMillis(delay))
        remember(delay, now)
        val usage = meter.read()
        val used = usage - before
        before = usage
        if (delay < NOTABLE_MILLISECONDS) return
        lines.record(
            "loop-late",
            "loop" to loop,
            "delayMs" to delay,
            "processorMs" to used.processor.toMillis(),
            "collectionMs" to used.collections.toMillis(),
        )
    }

    private fun remember(
        delay: Long,
        now: Long,
    ) {
        if (now - secondBegan > RECENT_MILLISECONDS) {
            secondBegan = now
            recent = current
            current = 0
        }
        current = maxOf(current, delay)
        recent = maxOf(recent, delay)
    }

    private companion object {
        /** A fifth of the time within which work must end after its caller has left. */
        const val NOTABLE_MILLISECONDS = 100L
        const val RECENT_MILLISECONDS = 1_000L
        val BUCKETS: Array<Duration> =
            listOf(5L, 20L, 50L, 100L, 200L, 500L, 1_000L, 2_000L).map(Duration::ofMillis).toTypedArray()
    }
}
