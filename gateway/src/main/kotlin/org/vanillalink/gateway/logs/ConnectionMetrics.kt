/*
 * Metrics of the connections to targets, the store and peers.
 */
package org.vanillalink.gateway.logs

import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.MeterRegistry
import org.vanillalink.transport.ConnectionCounters
import org.vanillalink.transport.ConnectionEnd
import org.vanillalink.transport.ResponseFault

internal object ConnectionMetrics {
    /** Shows [counters] in [registry]. */
    fun register(
        registry: MeterRegistry,
        counters: ConnectionCounters,
    ) {
        FunctionCounter
            .builder("vanillalink.connections.opened", counters) { it.opened.toDouble() }
            .register(registry)
        ConnectionEnd.entries.forEach { reason ->
            FunctionCounter
                .builder("vanillalink.connections.ended", counters) { it.ended(reason).toDouble() }
                .tag("reason", reason.label)
                .register(registry)
        }
        ResponseFault.entries.forEach { fault ->
            FunctionCounter
                .builder("vanillalink.responses.malformed", counters) { it.malformed(fault).toDouble() }
                .tag("check", fault.label)
                .register(registry)
        }
    }
}
