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
internal class ExpectedCapacity(
    private val failureDomain: FailureDomainId,
) {
    private data class Loading(
        val assignment: Assignment,
        val since: Instant,
    )

    private val loading = HashMap<Pair<GroupId, Generation>, Loading>()
    private val loadTimes = HashMap<ServiceName, Duration>()
    private var announced = emptySet<ServiceName>()

    /** What the router has to be told at [now]; a service that was announced before is withdrawn. */
    fun events(
        serving: ServingState,
        document: ConfigurationDocument,
        now: Instant,
    ): List<RouterEvent> {
        val fresh = Duration.ofMillis(document.targets.reportFreshMilliseconds)
        follow(loadingGroups(serving, fresh, now), serving, now)
        val isOut = document.failureDomains[failureDomain]?.state == FailureDomainState.OUT
        val known = loading.values.groupBy { it.assignment.service }.filterKeys { it in loadTimes }
        val expected = if (isOut) emptyMap() else known
        val events =
            (expected.keys + announced).filter { it in document.services }.map { service ->
                val units = document.services.getValue(service).requestsPerGroup
                event(service, expected[service].orEmpty(), units, now)
            }
        announced = expected.keys
        return events
    }

    private fun follow(
        current: List<Assignment>,
        serving: ServingState,
        now: Instant,
    ) {
        val keys = current.associateBy { it.group to it.generation }
        val ended = loading.filterKeys { it !in keys }
        ended.forEach { (key, load) ->
            loading.remove(key)
            val whole = serving.ready[load.assignment.group]?.generation == load.assignment.generation
            if (whole) loadTimes[load.assignment.service] = Duration.between(load.since, now)
        }
        keys.forEach { (key, assignment) -> loading.getOrPut(key) { Loading(assignment, now) } }
    }

    /** One assignment of each group that all its members report and that isn't ready everywhere. */
    private fun loadingGroups(
        serving: ServingState,
        fresh: Duration,
        now: Instant,
    ): List<Assignment> = serving.reports.byHost.values
        .filter { it.isFresh(now, fresh) && it.report.assignment != null }
        .map { it.report }
        .groupBy { it.assignment?.group to it.assignment?.generation }
        .values
        .filter { members -> members.size == members.first().assignment?.size }
        .filter { members -> members.any { it.phase == TargetPhase.LOADING } }
        .mapNotNull { it.first().assignment }

    private fun event(
        service: ServiceName,
        groups: List<Loading>,
        unitsPerGroup: Int,
        now: Instant,
    ): RouterEvent {
        val remaining = groups.map { remaining(it, now) }
        val growth = remaining.sumOf { unitsPerGroup * MILLISECONDS_PER_SECOND / it.toMillis() }
        return RouterEvent.CapacityExpected(service, growth, remaining.minOrNull()?.let { now.plus(it) })
    }

    /** A load that takes longer than the last one is expected to take as long again. */
    private fun remaining(
        load: Loading,
        now: Instant,
    ): Duration {
        val elapsed = Duration.between(load.since, now)
        val usual = loadTimes.getValue(load.assignment.service)
        return maxOf(if (elapsed < usual) usual.minus(elapsed) else elapsed, SHORTEST)
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0
        val SHORTEST: Duration = Duration.ofMillis(500)
    }
}
