/*
 * Which services are about to get capacity back, as far as the targets' own reports show it.
 *
 * A group whose members all report the same generation, some of them still loading, is going to serve soon. How soon is
 * taken from the loads that this daemon saw before; without one it expects nothing, so that nobody waits for a guess.
 */
package org.vanillalink.control

import org.vanillalink.configuration.ConfigurationDocument
import org.vanillalink.configuration.FailureDomainState
import org.vanillalink.groups.ServingState
import org.vanillalink.model.Assignment
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.Generation
import org.vanillalink.model.GroupId
import org.vanillalink.model.ServiceName
import org.vanillalink.model.TargetPhase
import org.vanillalink.routing.RouterEvent
import java.time.Duration
import java.time.Instant

/** Confined to the control thread. */
internal class LoadingGroupForecast(
    private val failureDomain: FailureDomainId,
) {
    private data class Loading(
        val assignment: Assignment,
        val since: Instant,
    )

    private val loading = HashMap<Pair<GroupId, Generation>, Loading>()
    private val loadTimes = HashMap<ServiceName, Duration>()
    private var announcedServices = emptySet<ServiceName>()

    /** What the router has to be told at [now]; a service that was announced before is withdrawn. */
    fun capacityEvents(
        serving: ServingState,
        document: ConfigurationDocument,
        now: Instant,
    ): List<RouterEvent> {
        val freshness = Duration.ofMillis(document.targets.reportFreshMilliseconds)
        trackLoads(loadingGroups(serving, freshness, now), serving, now)
        val isOut = document.failureDomains[failureDomain]?.state == FailureDomainState.OUT
        val predictable = loading.values.groupBy { it.assignment.service }.filterKeys { it in loadTimes }
        val expected = if (isOut) emptyMap() else predictable
        val events =
            (expected.keys + announcedServices).filter { it in document.services }.map { service ->
                val units = document.services.getValue(service).requestsPerGroup
                capacityEvent(service, expected[service].orEmpty(), units, now)
            }
        announcedServices = expected.keys
        return events
    }

    private fun trackLoads(
        current: List<Assignment>,
        serving: ServingState,
        now: Instant,
    ) {
        val currentByKey = current.associateBy { it.group to it.generation }
        val endedLoads = loading.filterKeys { it !in currentByKey }
        endedLoads.forEach { (key, load) ->
            loading.remove(key)
            val isComplete = serving.ready[load.assignment.group]?.generation == load.assignment.generation
            if (isComplete) loadTimes[load.assignment.service] = Duration.between(load.since, now)
        }
        currentByKey.forEach { (key, assignment) -> loading.getOrPut(key) { Loading(assignment, now) } }
    }

    /** One assignment of each group that all its members report and that isn't ready everywhere. */
    private fun loadingGroups(
        serving: ServingState,
        freshness: Duration,
        now: Instant,
    ): List<Assignment> = serving.reports.byHost.values
        .filter { it.isFresh(now, freshness) && it.report.assignment != null }
        .map { it.report }
        .groupBy { it.assignment?.group to it.assignment?.generation }
        .values
        .filter { members -> members.size == members.first().assignment?.size }
        .filter { members -> members.any { it.phase == TargetPhase.LOADING } }
        .mapNotNull { it.first().assignment }

    private fun capacityEvent(
        service: ServiceName,
        groups: List<Loading>,
        unitsPerGroup: Int,
        now: Instant,
    ): RouterEvent {
        val remainingTimes = groups.map { remainingTime(it, now) }
        val unitsPerSecond = remainingTimes.sumOf { unitsPerGroup * MILLISECONDS_PER_SECOND / it.toMillis() }
        return RouterEvent.CapacityExpected(service, unitsPerSecond, remainingTimes.minOrNull()?.let { now.plus(it) })
    }

    /** A load that takes longer than the last one is expected to take as long again. */
    private fun remainingTime(
        load: Loading,
        now: Instant,
    ): Duration {
        val elapsed = Duration.between(load.since, now)
        val previousLoadTime = loadTimes.getValue(load.assignment.service)
        return maxOf(if (elapsed < previousLoadTime) previousLoadTime.minus(elapsed) else elapsed, MIN_REMAINING)
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0
        val MIN_REMAINING: Duration = Duration.ofMillis(500)
    }
}
