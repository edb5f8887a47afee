/*
 * Metrics of the process: memory, garbage collection, threads, and how busy the control thread is.
 */
package org.vanillalink.daemon.metrics

import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics
import io.micrometer.core.instrument.binder.jvm.JvmThreadMetrics
import io.micrometer.core.instrument.binder.system.ProcessorMetrics
import java.time.Duration

/** Registers the metrics of the process. */
object ProcessMetrics {
    private const val NANOSECONDS_PER_SECOND = 1e9

    /** [controlBusy] is how long the control thread has worked since the start; [inProgress] counts requests. */
    fun register(
        registry: MeterRegistry,
        controlBusy: () -> Duration,
        inProgress: () -> Int,
    ) {
        JvmMemoryMetrics().bindTo(registry)
        JvmThreadMetrics().bindTo(registry)
        ProcessorMetrics().bindTo(registry)
        FunctionCounter
            .builder("vanillalink.control.busy.seconds", controlBusy) { it().toNanos() / NANOSECONDS_PER_SECOND }
            .register(registry)
        Gauge.builder("vanillalink.requests.in.progress", inProgress) { it().toDouble() }.register(registry)
    }
}
