/*
 * What the router may expect of a service's capacity, from two sources that don't know each other: groups that are
 * about to serve again, and cold targets that are climbing.
 */
package org.vanillalink.control

import org.vanillalink.model.ServiceName
import org.vanillalink.routing.RouterEvent

/** Who expects capacity. */
internal enum class ForecastSource { REPAIRS, COLD_TARGETS }

/** Confined to the control thread. */
internal class CapacityForecast {
    private val latestEvents = HashMap<Pair<ForecastSource, ServiceName>, RouterEvent.CapacityExpected>()

    /** [event] of [source] joined with what the other source expects; other events as they are. */
    fun combine(
        source: ForecastSource,
        event: RouterEvent,
    ): RouterEvent {
        if (event !is RouterEvent.CapacityExpected) return event
        latestEvents[source to event.service] = event
        val events = ForecastSource.entries.mapNotNull { latestEvents[it to event.service] }
        return event.copy(
            unitsPerSecond = events.sumOf { it.unitsPerSecond },
            nextProbeAt = events.mapNotNull { it.nextProbeAt }.minOrNull(),
        )
    }
}
