/*
 * The handling of one event: requests are started, queued or refused, and the decisions are collected.
 */
package org.vanillalink.routing

import org.vanillalink.model.RefusalReason
import java.time.Duration
import java.time.Instant

/** What happens to requests at [now]. */
internal class RoutingStep(
    private val state: RouterState,
    val now: Instant,
) {
    val decisions = ArrayList<RouterDecision>(1)
    private val usable: (CandidateEntry) -> Boolean = state::isUsable
    private val remoteChoice = RemoteChoice(state, now)
    private val refusals = Refusals(state, now, decisions)

    fun arrive(arrival: RouterEvent.RequestArrived) {
        if (arrival.request in state.requests) return
        val service = state.service(arrival.service)
        val request = RoutedRequest(arrival, maxOf(1, state.settings.workspaceShares[arrival.workspace] ?: 1))
        state.requests[request.id] = request
        if (arrival.deadline <= now) return refusals.refuse(service, request, RefusalReason.DEADLINE_EXCEEDED)
        if (service.queue.size == 0 && start(service, request)) return
        enqueue(service, request)
    }

    private fun enqueue(
        service: ServiceState,
        request: RoutedRequest,
    ) {
        val arrival = request.arrival
        val ahead = service.queue.costAhead(arrival.priority, arrival.workspace, request.weight)
        val estimate = WaitEstimate(state, service, now)
        if (estimate.isTooLate(request, ahead)) return refusals.refuseForCapacity(service, request, estimate, ahead)
        service.queue.add(request)
        drain(service)
        if (service.queue.size > state.settings.queuedRequests) dropLeastDeserving(service, estimate)
    }

    private fun dropLeastDeserving(
        service: ServiceState,
        estimate: WaitEstimate,
    ) {
        val victim = service.queue.leastDeserving() ?: return
        service.queue.remove(victim)
        val arrival = victim.arrival
        val ahead = service.queue.costAhead(arrival.priority, arrival.workspace, victim.weight)
        refusals.refuseForCapacity(service, victim, estimate, ahead)
    }

    /** Puts a request whose attempt failed before all others of its workspace and class. */
    fun retry(
        service: ServiceState,
        request: RoutedRequest,
    ) {
        service.queue.add(request, atFront = true)
        drain(service)
        if (request.current == null) shed(service)
    }

    /** Starts queued requests while there is room. */
    fun drain(service: ServiceState) {
        while (service.queue.size > 0) {
            val first = service.queue.peek() ?: return
            if (expire(service, first) || startQueued(service, first)) continue
            val other = service.queue.peek(remoteChoice::mayForward) ?: return
            if (other === first || !startQueued(service, other)) return
        }
    }

    private fun expire(
        service: ServiceState,
        request: RoutedRequest,
    ): Boolean {
        val estimate = WaitEstimate(state, service, now)
        if (!estimate.isTooLateToStart(request)) return false
        service.queue.remove(request)
        refusals.refuseForCapacity(service, request, estimate, 0.0)
        return true
    }

    private fun startQueued(
        service: ServiceState,
        request: RoutedRequest,
    ): Boolean {
        if (!start(service, request)) return false
        service.queue.takeToStart(request)
        return true
    }

    /** Refuses queued requests that can no longer meet their deadlines, the last in order first. */
    fun shed(service: ServiceState) {
        if (service.queue.size == 0) return
        val estimate = WaitEstimate(state, service, now)
        val late = service.queue.tooLate { request, ahead -> estimate.isTooLate(request, ahead) }
        late.forEach { service.queue.remove(it) }
        late.forEach { request ->
            val arrival = request.arrival
            val ahead = service.queue.costAhead(arrival.priority, arrival.workspace, request.weight)
            refusals.refuseForCapacity(service, request, estimate, ahead)
        }
    }

    fun refuse(
        service: ServiceState,
        request: RoutedRequest,
        reason: RefusalReason,
    ) = refusals.refuse(service, request, reason)

    private fun start(
        service: ServiceState,
        request: RoutedRequest,
    ): Boolean {
        val entry = TargetChoice.choose(service.entries, request, usable)
        if (entry != null) return launch(service, request, entry, null)
        val remote = remoteChoice.choose(service, request) ?: return false
        return launch(service, request, null, remote)
    }

    private fun launch(
        service: ServiceState,
        request: RoutedRequest,
        entry: CandidateEntry?,
        remote: RemoteEntry?,
    ): Boolean {
        if (request.attempts == 0) service.budget.earn(state.settings)
        request.attempts += 1
        val record = AttemptRecord(request.attempts, request.arrival.estimatedTokens, now, service, entry, remote)
        val key = AttemptKey(request.id, record.number)
        request.current = record
        state.attempts[key] = record
        if (entry != null) launchHere(entry, key)
        if (remote != null) launchThere(service, request, remote, key)
        return true
    }

    private fun launchHere(
        entry: CandidateEntry,
        key: AttemptKey,
    ) {
        entry.started(key, now)
        val candidate = entry.candidate
        decisions.add(RouterDecision.StartAttempt(key.request, key.attempt, candidate.host, candidate.boot))
    }

    private fun launchThere(
        service: ServiceState,
        request: RoutedRequest,
        remote: RemoteEntry,
        key: AttemptKey,
    ) {
        remote.sent()
        service.forwarded += 1
        request.forwardings += 1
        decisions.add(RouterDecision.ForwardRequest(key.request, key.attempt, remote.capacity.daemon))
    }
}

/** Chooses a daemon of another failure domain. */
internal class RemoteChoice(
    private val state: RouterState,
    private val now: Instant,
) {
    /** A request is passed between failure domains once; one that was turned away there may try another daemon. */
    fun mayForward(request: RoutedRequest): Boolean =
        !request.arrival.forwarded && request.forwardings < MOST_FORWARDINGS

    /** The daemon with the most free capacity left, or null where none has any. */
    fun choose(
        service: ServiceState,
        request: RoutedRequest,
    ): RemoteEntry? {
        if (!mayForward(request)) return null
        return service.remotes.values
            .filter { remaining(it) > 0 }
            .maxByOrNull { remaining(it) }
    }

    private fun remaining(remote: RemoteEntry): Int {
        val domain = remote.capacity.failureDomain
        if (domain in state.outDomains) return 0
        return remote.remaining(now, state.settings.remoteReportFresh, usablePart(state.inSince[domain]))
    }

    private fun usablePart(inSince: Instant?): Double {
        if (inSince == null) return 1.0
        val elapsed = Duration.between(inSince, now).toMillis().toDouble()
        return (elapsed / state.settings.remoteSlowStart.toMillis()).coerceIn(SMALLEST_PART, 1.0)
    }

    private companion object {
        const val MOST_FORWARDINGS = 3
        const val SMALLEST_PART = 0.1
    }
}
