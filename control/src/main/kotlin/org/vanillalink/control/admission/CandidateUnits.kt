/*
 * Joins the router's candidates with the units that this daemon holds.
 *
 * The router starts an attempt only below a candidate's limit, and that is always what runs there already plus the free
 * units: so it never starts what the account would have to defer. What an attempt's end frees, and the slot that it
 * releases in the router, are told as one.
 */
package org.vanillalink.control.admission

import org.vanillalink.control.ProcessingStep
import org.vanillalink.model.HostId
import org.vanillalink.model.ServiceName
import org.vanillalink.routing.RouterEvent
import org.vanillalink.routing.RouterState
import org.vanillalink.routing.TargetCandidate
import java.time.Duration

/** Confined to the control thread. */
internal class CandidateUnits(
    private val admission: AdmissionComponent,
    private val router: () -> RouterState,
) {
    private val announcedCandidates = HashMap<HostId, TargetCandidate>()

    /** The candidates [candidates] of [service], with their units. */
    fun withUnits(
        service: ServiceName,
        candidates: List<TargetCandidate>,
    ): List<TargetCandidate> {
        val previousCandidates = HashMap(announcedCandidates.filterValues { it.service == service })
        announcedCandidates.keys.removeAll(previousCandidates.keys)
        return candidates.map { candidate ->
            withUnits(candidate, previous = previousCandidates[candidate.host], released = 0).also {
                announcedCandidates[it.host] =
                    it
            }
        }
    }

    /** What the router has to be told before [event]. */
    fun routerUpdates(
        event: RouterEvent?,
        step: ProcessingStep,
    ): List<RouterEvent> {
        // It carries the units as they are now, maybe for another boot than the router knows.
        if (event is RouterEvent.CandidatesChanged) return emptyList()
        val releasedHost = event?.let { admission.recordAttemptEvent(it, step) }
        val updates = admission.takeChanged().mapNotNull { update(it, released = if (it == releasedHost) 1 else 0) }
        releasedHost?.let { admission.markChanged(it) }
        if (event is RouterEvent.RequestArrived) requestUnits(event.service, arriving = 1, step)
        return updates
    }

    /** Asks for units for what waits, and gives what the router may expect of [services] that [daemonCount] share. */
    fun demandEvents(
        services: Collection<ServiceName>,
        daemonCount: Int,
        step: ProcessingStep,
    ): List<RouterEvent> = services.map { service ->
        requestUnits(service, arriving = 0, step)
        expectedCapacity(service, daemonCount, step)
    }

    private fun requestUnits(
        service: ServiceName,
        arriving: Int,
        step: ProcessingStep,
    ) {
        val queued = router().queueLength(service) + arriving
        coldCandidates(service).forEach { admission.requestUnits(it.host, minOf(queued, MAX_UNITS_REQUESTED), step) }
    }

    private fun expectedCapacity(
        service: ServiceName,
        daemonCount: Int,
        step: ProcessingStep,
    ): RouterEvent {
        val rampingCandidates = coldCandidates(service).filter { admission.freeUnits(it.host, it.boot) == 0 }
        val waitTimes = rampingCandidates.map { admission.timeToCapacity(it.host, step.now) }
        val unitsPerSecond = waitTimes.sumOf { MILLISECONDS_PER_SECOND / maxOf(it, MIN_RAMP_STEP_TIME).toMillis() }
        return RouterEvent.CapacityExpected(
            service,
            unitsPerSecond / maxOf(1, daemonCount),
            waitTimes.minOrNull()?.let(step.now::plus),
        )
    }

    private fun coldCandidates(service: ServiceName): List<TargetCandidate> =
        announcedCandidates.values.filter { it.service == service && !admission.isWarm(it.host, it.boot) }

    private fun update(
        host: HostId,
        released: Int,
    ): RouterEvent? {
        val previous = announcedCandidates[host] ?: return null
        val updated = withUnits(previous, previous, released)
        if (updated == previous) return null
        announcedCandidates[host] = updated
        return RouterEvent.CandidateUpdated(updated)
    }

    private fun withUnits(
        candidate: TargetCandidate,
        previous: TargetCandidate?,
        released: Int,
    ): TargetCandidate {
        if (admission.isWarm(candidate.host, candidate.boot)) return candidate.copy(admissionUnits = null)
        val sameBoot = previous?.boot == candidate.boot
        val inUse = if (sameBoot) router().runningAttempts(candidate.service, candidate.host) - released else 0
        val freeUnits = admission.freeUnits(candidate.host, candidate.boot)
        return candidate.copy(admissionUnits = maxOf(0, inUse) + freeUnits)
    }

    private companion object {
        const val MAX_UNITS_REQUESTED = 4
        const val MILLISECONDS_PER_SECOND = 1_000.0

        /** The ramp takes a step after two reports, half a second apart. */
        val MIN_RAMP_STEP_TIME: Duration = Duration.ofSeconds(1)
    }
}
