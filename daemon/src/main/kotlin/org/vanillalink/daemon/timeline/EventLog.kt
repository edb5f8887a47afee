/*
 * The daemon's part of the time line: each event is logged as one line and kept in memory, newest last, up to a bound.
 */
package org.vanillalink.daemon.timeline

import io.github.oshai.kotlinlogging.KotlinLogging
import org.vanillalink.model.DaemonId
import org.vanillalink.model.KeyValueLine
import org.vanillalink.model.TimelineEvent
import java.time.Clock

/** Keeps the last [EVENTS_KEPT] events; may be called from any thread. */
class EventLog(
    private val daemon: DaemonId,
    private val clock: Clock,
) {
    private val logger = KotlinLogging.logger("timeline")
    private val kept = ArrayDeque<TimelineEvent>()
    private var sequence = 0L

    /** Records that [name] happened now. */
    fun record(
        name: String,
        vararg fields: Pair<String, Any?>,
    ) = record(name, fields.toMap())

    /** Records that [name] happened now; fields without a value are left out. */
    fun record(
        name: String,
        fields: Map<String, Any?>,
    ) {
        val event = keep(name, fields)
        logger.info { KeyValueLine.format(listOf("event" to name, "daemon" to daemon) + event.fields.toList()) }
    }

    /** Events with a sequence number above [sequence], oldest first. */
    @Synchronized
    fun after(sequence: Long): List<TimelineEvent> = kept.filter { it.sequence > sequence }

    @Synchronized
    private fun keep(
        name: String,
        fields: Map<String, Any?>,
    ): TimelineEvent {
        sequence += 1
        val texts = fields.filterValues { it != null }.mapValues { it.value.toString() }
        val event = TimelineEvent(clock.instant(), daemon, sequence, name, texts)
        kept.addLast(event)
        if (kept.size > EVENTS_KEPT) kept.removeFirst()
        return event
    }

    private companion object {
        const val EVENTS_KEPT = 10_000
    }
}
