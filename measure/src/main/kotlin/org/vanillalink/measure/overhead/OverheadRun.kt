/*
 * The rounds of the overhead measurement.
 */
package org.vanillalink.measure.overhead

import org.HdrHistogram.Histogram
import org.vanillalink.measure.Figure
import org.vanillalink.model.Endpoint
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** Loads [daemon] and [engine] by turns; [calls] is the number of calls in a round. */
class OverheadRun(
    private val loader: StreamLoader,
    private val usage: ProcessUsage,
    private val daemon: Endpoint,
    private val engine: Endpoint,
    private val calls: Int,
) {
    /** All figures; the baseline is the direct call. */
    fun run(): List<Figure> {
        repeat(WARM_UP_ROUNDS) {
            loader.load(daemon, calls, atOnce = 16, tokens = SHORT_ANSWER)
            loader.load(engine, calls, atOnce = 16, tokens = SHORT_ANSWER)
        }
        val latency = CONCURRENCIES.flatMap(::latency)
        return latency + cost() + memory()
    }

    private fun latency(atOnce: Int): List<Figure> {
        val direct = loader.load(engine, calls, atOnce, LONG_ANSWER)
        val through = loader.load(daemon, calls, atOnce, LONG_ANSWER)
        val failed =
            Figure("calls not whole, $atOnce at once", through.failed.toDouble(), "calls", direct.failed.toDouble())
        return listOf(failed) +
            percentiles("first token, $atOnce at once", through.firstToken, direct.firstToken) +
            percentiles("gap between tokens, $atOnce at once", through.gap, direct.gap)
    }

    private fun percentiles(
        name: String,
        through: Histogram,
        direct: Histogram,
    ): List<Figure> = PERCENTILES.map { percentile ->
        val value = through.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND
        val baseline = direct.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND
        Figure("$name, p${percentile.toInt()}", value, "ms", baseline)
    }

    private fun cost(): List<Figure> {
        val short = processorTime(tokens = 1)
        val long = processorTime(tokens = LONG_ANSWER)
        val perToken = (long - short) / (LONG_ANSWER - 1)
        return listOf(
            Figure("processor time for control, nothing else", idleMicrosecondsPerSecond(), "us/s"),
            Figure("processor time for a request of one token", short, "us"),
            Figure("processor time for a further token", perToken, "us"),
            Figure("requests of one token a second and core", MICROSECONDS_PER_SECOND / short, "requests/s"),
            Figure("tokens a second and core", MICROSECONDS_PER_SECOND / perToken, "tokens/s"),
        )
    }

    /** Without what the daemon spends on control in the same time. */
    private fun processorTime(tokens: Int): Double {
        val rounds = calls * COST_ROUNDS
        val idle = idleMicrosecondsPerSecond()
        val startedAt = System.nanoTime()
        val before = usage.processorMicroseconds()
        loader.load(daemon, rounds, COST_AT_ONCE, tokens)
        val spent = usage.processorMicroseconds() - before
        val seconds = (System.nanoTime() - startedAt) / NANOSECONDS_PER_SECOND
        return (spent - idle * seconds) / rounds
    }

    private fun idleMicrosecondsPerSecond(): Double {
        val before = usage.processorMicroseconds()
        CountDownLatch(1).await(IDLE_SECONDS, TimeUnit.SECONDS)
        return (usage.processorMicroseconds() - before).toDouble() / IDLE_SECONDS
    }

    private fun memory(): List<Figure> = OPEN_STREAMS.map { streams ->
        var peak = 0.0
        val watcher = Thread { while (!Thread.interrupted()) peak = maxOf(peak, usage.residentMebibytes()) }
        watcher.start()
        loader.load(daemon, streams, streams, LONG_ANSWER)
        watcher.interrupt()
        watcher.join()
        Figure("resident memory with $streams open streams", peak, "MiB")
    }

    private companion object {
        const val WARM_UP_ROUNDS = 40
        const val IDLE_SECONDS = 4L
        const val NANOSECONDS_PER_SECOND = 1_000_000_000.0
        const val SHORT_ANSWER = 10
        const val LONG_ANSWER = 60
        const val COST_ROUNDS = 10
        const val COST_AT_ONCE = 32
        const val MICROSECONDS_PER_MILLISECOND = 1_000.0
        const val MICROSECONDS_PER_SECOND = 1_000_000.0
        val CONCURRENCIES = listOf(1, 16, 64)
        val PERCENTILES = listOf(50.0, 95.0, 99.0)
        val OPEN_STREAMS = listOf(1, 100, 1_000)
    }
}
