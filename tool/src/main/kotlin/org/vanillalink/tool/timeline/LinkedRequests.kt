/*
 * Finds the ids under which one request is known at several daemons: a daemon that is passed a request gives it an id
 * of its own and records the attempt that it came as.
 */
package org.vanillalink.tool.timeline

import org.vanillalink.model.TimelineEvent

internal object LinkedRequests {
    private const val REQUEST = "request"
    private const val FORWARDING_ATTEMPT = "forwarding-attempt"

    /** [request] and all ids that are linked with it by a forwarding in [events]. */
    fun findIds(
        request: String,
        events: List<TimelineEvent>,
    ): Set<String> {
        val forwardings =
            events
                .filter { FORWARDING_ATTEMPT in it.fields }
                .groupBy { it.fields[FORWARDING_ATTEMPT] }
                .values
        val linkedIds = forwardings.map { forwarding -> forwarding.mapNotNull { it.fields[REQUEST] }.toSet() }
        var related = setOf(request)
        while (true) {
            val extended = related + linkedIds.filter { ids -> ids.any { it in related } }.flatten()
            if (extended == related) return related
            related = extended
        }
    }
}
