/*
 * Counts the ends of callers' connections by reason, and logs those that left something of the caller unanswered.
 */
package org.vanillalink.gateway.logs

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.MeterRegistry
import org.vanillalink.model.DaemonId
import org.vanillalink.model.KeyValueLine
import org.vanillalink.transport.CallerConnectionEnd
import org.vanillalink.transport.CallerConnectionListener

/** Confined to the traffic thread; never blocks. */
@Suppress("SpreadOperator")
internal class CallerConnectionLogger(
    private val daemon: DaemonId,
    private val meterRegistry: MeterRegistry,
    private val now: () -> Long,
) : CallerConnectionListener {
    private val logger = KotlinLogging.logger("connections")
    private val rateLimiter = LogRateLimiter(LINES_PER_SECOND, BURST_LINES)

    override fun onEnded(end: CallerConnectionEnd) {
        val tags = arrayOf("reason", end.reason.label, "clean", end.isClean.toString())
        meterRegistry.counter("vanillalink.caller.connections.ended", *tags).increment()
        if (end.isClean) return
        val time = now()
        if (!rateLimiter.tryAcquire(time)) {
            meterRegistry.counter("vanillalink.log.suppressed", "kind", "connection").increment()
            return
        }
        logger.info { KeyValueLine.format(fields(end, time).filter { it.second != null }) }
    }

    private fun fields(
        end: CallerConnectionEnd,
        time: Long,
    ): List<Pair<String, Any?>> = listOf(
        "event" to "caller-connection-closed",
        "daemon" to daemon,
        "atMs" to time,
        "reason" to end.reason.label,
        "request" to end.incompleteRequestId,
        "inProgress" to if (end.isResponseIncomplete) 1 else 0,
        "queued" to end.queuedRequests,
        "partial" to end.isRequestIncomplete,
        "discarded" to end.discardedBytes,
        "suppressed" to rateLimiter.takeSuppressedCount().takeIf { it > 0 },
    )

    private companion object {
        /** Callers that time out together end many connections; the counter has them all. */
        const val LINES_PER_SECOND = 20.0
        const val BURST_LINES = 100.0
    }
}
