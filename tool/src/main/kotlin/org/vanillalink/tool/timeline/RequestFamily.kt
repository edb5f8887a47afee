/*
 * Finds the ids under which one request is known at several daemons: a daemon that is passed a request gives it an id
 * of its own and records the attempt that it came as.
 */
package org.vanillalink.tool.timeline

import org.vanillalink.model.TimelineEvent

internal object RequestFamily {
    private const val REQUEST = "request"
    private const val FORWARDING_ATTEMPT = "forwarding-attempt"

    /** [request] and all ids that are linked with it by a forwarding in [events]. */
    fun of(
        request: String,
        events: List<TimelineEvent>,
    ): Set<String> {
        val links = events.filter { FORWARDING_ATTEMPT in it.fields }.groupBy { it.fields[FORWARDING_ATTEMPT] }.values
        val families = links.map { link -> link.mapNotNull { it.fields[REQUEST] }.toSet() }
        var known = setOf(request)
        while (true) {
            val next = known + families.filter { family -> family.any { it in known } }.flatten()
            if (next == known) return known
            known = next
        }
    }
}
