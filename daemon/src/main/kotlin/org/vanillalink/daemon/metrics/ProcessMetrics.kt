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
import org.vanillalink.daemon.control.ControlThread

/** Registers the metrics of the process. */
object ProcessMetrics {
    private const val NANOSECONDS_PER_SECOND = 1e9

    /** [thread] is the control thread, kept by the daemon for its life; [inProgress] counts requests. */
    fun register(
        registry: MeterRegistry,
        thread: ControlThread,
        inProgress: () -> Int,
    ) {
        JvmMemoryMetrics().bindTo(registry)
        JvmThreadMetrics().bindTo(registry)
        ProcessorMetrics().bindTo(registry)
        // The registry refers to it weakly: a lambda in its place would be collected and the counter stay at 0.
        FunctionCounter
            .builder("vanillalink.control.busy.seconds", thread) { it.busy.toNanos() / NANOSECONDS_PER_SECOND }
            .register(registry)
        Gauge
            .builder("vanillalink.requests.in.progress", inProgress) { it().toDouble() }
            .strongReference(true)
            .register(registry)
    }
}
