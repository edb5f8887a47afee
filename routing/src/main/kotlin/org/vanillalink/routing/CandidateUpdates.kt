/*
 * What changes among candidates, remote daemons and their caches.
 */
package org.vanillalink.routing

import org.vanillalink.model.DaemonId
import org.vanillalink.model.HostId
import org.vanillalink.model.ServiceName

/** Applies news of where requests may go, and starts what waited for it. */
internal class CandidateUpdates(
    private val state: RouterState,
    private val step: RoutingStep,
) {
    fun replaceAll(
        name: ServiceName,
        candidates: List<TargetCandidate>,
    ) {
        val service = state.service(name)
        val hosts = candidates.mapTo(HashSet()) { it.host }
        service.entries.filter { it.candidate.host !in hosts }.forEach { it.present = false }
        forgetIdle(service)
        candidates.forEach { put(service, it) }
        step.drain(service)
    }

    fun update(candidate: TargetCandidate) {
        val service = state.service(candidate.service)
        put(service, candidate)
        step.drain(service)
    }

    /** Another boot is another entry: what ran on the old one has ended with it. */
    private fun put(
        service: ServiceState,
        candidate: TargetCandidate,
    ) {
        val existing = service.entry(candidate.host)
        if (existing?.candidate?.boot == candidate.boot) return existing.update(candidate)
        if (existing != null) service.entries.remove(existing)
        val entry = CandidateEntry(candidate)
        entry.update(candidate)
        service.entries.add(entry)
    }

    fun remove(
        name: ServiceName,
        host: HostId,
    ) {
        val service = state.service(name)
        service.entry(host)?.present = false
        forgetIdle(service)
    }

    private fun forgetIdle(service: ServiceState) {
        service.entries.removeIf { !it.present && it.inUse == 0 }
    }

    fun updateRemote(capacity: RemoteCapacity) {
        val service = state.service(capacity.service)
        val existing = service.remotes[capacity.daemon]
        if (existing == null) {
            service.remotes[capacity.daemon] = RemoteEntry(capacity)
        } else {
            existing.update(capacity)
        }
        step.drain(service)
    }

    fun removeRemote(daemon: DaemonId) {
        state.services.values.forEach { it.remotes.remove(daemon) }
    }

    fun applyCacheEvents(event: RouterEvent.CacheEventsReceived) {
        state.services.values.forEach { it.entry(event.host)?.prefixes?.apply(event, step.now) }
    }

    fun expect(event: RouterEvent.CapacityExpected) {
        state.service(event.service).expected = event
    }
}
