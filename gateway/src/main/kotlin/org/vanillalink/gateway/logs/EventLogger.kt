/*
 * Structured lines about what the daemon believes and does, other than single requests.
 */
package org.vanillalink.gateway.logs

import io.github.oshai.kotlinlogging.KotlinLogging
import org.vanillalink.model.DaemonId
import org.vanillalink.model.KeyValueLine

/** Writes one line for each event. May be called from any thread; never blocks. */
class EventLogger(
    private val daemon: DaemonId,
    private val now: () -> Long,
) {
    private val logger = KotlinLogging.logger("events")
    private val rateLimiter = LogRateLimiter(LINES_PER_SECOND, BURST_LINES)

    /** Writes that [event] happened. */
    fun record(
        event: String,
        vararg fields: Pair<String, Any?>,
    ) = record(event, fields.toMap())

    /** Writes that [event] happened; fields without a value are left out. */
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
        /** Control of one failure domain writes a handful of lines for each lost target. */
        const val LINES_PER_SECOND = 50.0
        const val BURST_LINES = 300.0
    }
}
