/*
 * Selects and sorts timeline events.
 */
package org.vanillalink.tool.timeline

import org.vanillalink.model.TimelineEvent
import java.time.Instant

/**
 * Criteria for events; a null criterion matches all. [target] is a host; [target] and [group] match any field whose
 * value contains them as a separate name.
 */
data class TimelineFilter(
    val request: String? = null,
    val group: String? = null,
    val target: String? = null,
    val since: Instant? = null,
    val until: Instant? = null,
) {
    /** Returns the matching [events], sorted by time, then daemon, then the daemon's sequence number. */
    fun apply(events: List<TimelineEvent>): List<TimelineEvent> {
        val requests = request?.let { LinkedRequests.findIds(it, events) }
        return events
            .filter { requests == null || it.fields["request"] in requests }
            .filter { group == null || mentions(it, group) }
            .filter { target == null || mentions(it, target) }
            .filter { (since == null || it.at >= since) && (until == null || it.at <= until) }
            .sortedWith(compareBy({ it.at }, { it.daemon }, { it.sequence }))
    }

    private fun mentions(
        event: TimelineEvent,
        name: String,
    ): Boolean {
        val delimitedName = Regex("(?<![\\w.-])" + Regex.escape(name) + "(?![\\w.-])")
        return event.fields.values.any { delimitedName.containsMatchIn(it) }
    }
}
