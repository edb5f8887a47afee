/*
 * Combines the expected capacity of a service from two independent sources: groups that are about to serve again, and
 * cold targets that accept more requests as they warm up.
 */
package org.vanillalink.control

import org.vanillalink.model.ServiceName
import org.vanillalink.routing.RouterEvent

/** Source of a capacity forecast. */
internal enum class ForecastSource { REPAIRS, COLD_TARGETS }

/** Confined to the control thread. */
internal class CapacityForecast {
    private val latestEvents = HashMap<Pair<ForecastSource, ServiceName>, RouterEvent.CapacityExpected>()

    /** Adds the latest forecast of the other source to [event] of [source]; returns other events unchanged. */
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
