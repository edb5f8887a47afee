/*
 * Finds the ids that one request has at several daemons: a daemon that receives a forwarded request assigns its own id
 * and logs the forwarding attempt by which the request arrived.
 */
package org.vanillalink.tool.timeline

import org.vanillalink.model.TimelineEvent

internal object LinkedRequests {
    private const val REQUEST = "request"
    private const val FORWARDING_ATTEMPT = "forwarding-attempt"

    /** Returns [request] and all ids that forwarding attempts in [events] link to it, directly or through other ids. */
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
