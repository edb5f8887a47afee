/*
 * Updates of candidates, of remote daemons and of the targets' prompt caches.
 */
package org.vanillalink.routing

import org.vanillalink.model.DaemonId
import org.vanillalink.model.HostId
import org.vanillalink.model.ServiceName

/** Applies updates of candidates and remote capacity, and starts queued requests for which there is now capacity. */
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
        service.entries.filter { it.candidate.host !in hosts }.forEach { it.isListed = false }
        removeIdle(service)
        candidates.forEach { put(service, it) }
        step.drainQueue(service)
    }

    fun update(candidate: TargetCandidate) {
        val service = state.service(candidate.service)
        put(service, candidate)
        step.drainQueue(service)
    }

    /** A new boot replaces the entry, because attempts on the old boot have ended with it. */
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
        service.entry(host)?.isListed = false
        removeIdle(service)
    }

    private fun removeIdle(service: ServiceState) {
        service.entries.removeIf { !it.isListed && it.unitsInUse == 0 }
    }

    fun updateRemote(capacity: RemoteCapacity) {
        val service = state.service(capacity.service)
        val existing = service.remotes[capacity.daemon]
        if (existing == null) {
            service.remotes[capacity.daemon] = RemoteDaemonEntry(capacity)
        } else {
            existing.update(capacity)
        }
        step.drainQueue(service)
    }

    fun removeRemote(daemon: DaemonId) {
        state.services.values.forEach { it.remotes.remove(daemon) }
    }

    fun applyCacheEvents(event: RouterEvent.CacheEventsReceived) {
        state.services.values.forEach { it.entry(event.host)?.cachedPrefixes?.apply(event, step.now) }
    }

    fun setExpectedCapacity(event: RouterEvent.CapacityExpected) {
        state.service(event.service).expectedCapacity = event
    }
}
