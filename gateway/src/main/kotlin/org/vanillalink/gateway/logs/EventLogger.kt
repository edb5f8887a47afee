/*
 * Structured log lines about the daemon's state changes and actions, other than single requests.
 */
package org.vanillalink.gateway.logs

import io.github.oshai.kotlinlogging.KotlinLogging
import org.vanillalink.model.DaemonId
import org.vanillalink.model.KeyValueLine

/** Logs one line per event, up to a rate limit. Thread-safe; never blocks. */
class EventLogger(
    private val daemon: DaemonId,
    private val now: () -> Long,
) {
    private val logger = KotlinLogging.logger("events")
    private val rateLimiter = LogRateLimiter(LINES_PER_SECOND, BURST_LINES)

    fun record(
        event: String,
        vararg fields: Pair<String, Any?>,
    ) = record(event, fields.toMap())

    /** Logs [event]; fields with a null value are omitted. */
    @Synchronized
    fun record(
        event: String,
        fields: Map<String, Any?>,
    ) {
        val time = now()
        if (!rateLimiter.tryAcquire(time)) return
        val suppressedLines = rateLimiter.takeSuppressedCount().takeIf { it > 0 }
        val allFields =
            listOf<Pair<String, Any?>>("event" to event, "daemon" to daemon, "atMs" to time) + fields.toList() +
                ("suppressed" to suppressedLines)
        logger.info { KeyValueLine.format(allFields.filter { it.second != null }) }
    }

    private companion object {
        /** The control of one failure domain logs a handful of lines for each lost target. */
        const val LINES_PER_SECOND = 50.0
        const val BURST_LINES = 300.0
    }
}
