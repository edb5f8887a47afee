/*
 * Joins the router's candidates with the units that this daemon holds.
 *
 * The router starts an attempt only below a candidate's limit, and that is always what runs there already plus the free
 * units: so it never starts what the account would have to defer. What an attempt's end frees, and the slot that it
 * releases in the router, are told as one.
 */
package org.vanillalink.control.admission

import org.vanillalink.control.ControlStep
import org.vanillalink.model.HostId
import org.vanillalink.model.ServiceName
import org.vanillalink.routing.RouterEvent
import org.vanillalink.routing.RouterState
import org.vanillalink.routing.TargetCandidate
import java.time.Duration

/** Confined to the control thread. */
internal class CandidateUnits(
    private val admission: AdmissionPart,
    private val router: () -> RouterState,
) {
    private val told = HashMap<HostId, TargetCandidate>()

    /** The candidates [usable] of [service], with their units. */
    fun ofAll(
        service: ServiceName,
        usable: List<TargetCandidate>,
    ): List<TargetCandidate> {
        val before = HashMap(told.filterValues { it.service == service })
        told.keys.removeAll(before.keys)
        return usable.map { candidate ->
            withUnits(candidate, known = before[candidate.host], released = 0).also { told[it.host] = it }
        }
    }

    /** What the router has to be told before [event]. */
    fun before(
        event: RouterEvent?,
        step: ControlStep,
    ): List<RouterEvent> {
        // It carries the units as they are now, maybe for another boot than the router knows.
        if (event is RouterEvent.CandidatesChanged) return emptyList()
        val releasing = event?.let { admission.attemptNews(it, step) }
        val updates = admission.takeChanged().mapNotNull { update(it, released = if (it == releasing) 1 else 0) }
        releasing?.let { admission.markChanged(it) }
        if (event is RouterEvent.RequestArrived) wantUnits(event.service, waiting = 1, step)
        return updates
    }

    /** Asks for units for what waits, and gives what the router may expect of [services] that [daemons] share. */
    fun demand(
        services: Collection<ServiceName>,
        daemons: Int,
        step: ControlStep,
    ): List<RouterEvent> = services.map { service ->
        wantUnits(service, waiting = 0, step)
        expected(service, daemons, step)
    }

    private fun wantUnits(
        service: ServiceName,
        waiting: Int,
        step: ControlStep,
    ) {
        val queued = router().queueLength(service) + waiting
        coldCandidates(service).forEach { admission.unitsWanted(it.host, minOf(queued, MOST_UNITS_WANTED), step) }
    }

    private fun expected(
        service: ServiceName,
        daemons: Int,
        step: ControlStep,
    ): RouterEvent {
        val climbing = coldCandidates(service).filter { admission.freeUnits(it.host, it.boot) == 0 }
        val waits = climbing.map { admission.timeToCapacity(it.host, step.now) }
        val growth = waits.sumOf { MILLISECONDS_PER_SECOND / maxOf(it, FASTEST_STEP).toMillis() }
        return RouterEvent.CapacityExpected(service, growth / maxOf(1, daemons), waits.minOrNull()?.let(step.now::plus))
    }

    private fun coldCandidates(service: ServiceName): List<TargetCandidate> =
        told.values.filter { it.service == service && !admission.isWarm(it.host, it.boot) }

    private fun update(
        host: HostId,
        released: Int,
    ): RouterEvent? {
        val known = told[host] ?: return null
        val updated = withUnits(known, known, released)
        if (updated == known) return null
        told[host] = updated
        return RouterEvent.CandidateUpdated(updated)
    }

    private fun withUnits(
        candidate: TargetCandidate,
        known: TargetCandidate?,
        released: Int,
    ): TargetCandidate {
        if (admission.isWarm(candidate.host, candidate.boot)) return candidate.copy(admissionUnits = null)
        val sameBoot = known?.boot == candidate.boot
        val inUse = if (sameBoot) router().runningAttempts(candidate.service, candidate.host) - released else 0
        val free = admission.freeUnits(candidate.host, candidate.boot)
        return candidate.copy(admissionUnits = maxOf(0, inUse) + free)
    }

    private companion object {
        const val MOST_UNITS_WANTED = 4
        const val MILLISECONDS_PER_SECOND = 1_000.0

        /** The ramp takes a step after two reports, half a second apart. */
        val FASTEST_STEP: Duration = Duration.ofSeconds(1)
    }
}
