/*
 * Handling of one event: starts, queues, forwards or refuses requests and collects the decisions.
 */
package org.vanillalink.routing

import org.vanillalink.model.RefusalReason
import java.time.Duration
import java.time.Instant

/** Routes requests at [now]. */
internal class RoutingStep(
    private val state: RouterState,
    val now: Instant,
) {
    val decisions = ArrayList<RouterDecision>(1)
    private val isUsable: (CandidateEntry) -> Boolean = state::isUsable
    private val remoteDaemonSelector = RemoteDaemonSelector(state, now)
    private val refusals = Refusals(state, now, decisions)

    fun routeRequest(arrival: RouterEvent.RequestArrived) {
        if (arrival.request in state.requests) return
        val service = state.service(arrival.service)
        val request = RoutedRequest(arrival, maxOf(1, state.settings.workspaceShares[arrival.workspace] ?: 1))
        state.requests[request.id] = request
        if (arrival.deadline <= now) return refusals.refuse(service, request, RefusalReason.DEADLINE_EXCEEDED)
        if (service.queue.size == 0 && tryStart(service, request)) return
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
        drainQueue(service)
        if (service.queue.size > state.settings.queuedRequests) dropLowestRanked(service, estimate)
    }

    private fun dropLowestRanked(
        service: ServiceState,
        estimate: WaitEstimate,
    ) {
        val dropped = service.queue.lowestRanked() ?: return
        service.queue.remove(dropped)
        val arrival = dropped.arrival
        val tokensAhead = service.queue.costAhead(arrival.priority, arrival.workspace, dropped.weight)
        refusals.refuseForCapacity(service, dropped, estimate, tokensAhead)
    }

    /** Queues a request whose attempt failed ahead of all others of its workspace and priority class. */
    fun retry(
        service: ServiceState,
        request: RoutedRequest,
    ) {
        service.queue.add(request, atFront = true)
        drainQueue(service)
        if (request.currentAttempt == null) shedLateRequests(service)
    }

    /** Starts queued requests while there is capacity. */
    fun drainQueue(service: ServiceState) {
        while (service.queue.size > 0) {
            val first = service.queue.peek() ?: return
            if (refuseIfTooLate(service, first) || startQueued(service, first)) continue
            val other = service.queue.peek(remoteDaemonSelector::mayForward) ?: return
            if (other === first || !startQueued(service, other)) return
        }
    }

    private fun refuseIfTooLate(
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
        if (!tryStart(service, request)) return false
        service.queue.removeToStart(request)
        return true
    }

    /** Refuses queued requests that can no longer meet their deadlines, the last in order first. */
    fun shedLateRequests(service: ServiceState) {
        if (service.queue.size == 0) return
        val estimate = WaitEstimate(state, service, now)
        val late = service.queue.findTooLate { request, tokensAhead -> estimate.isTooLate(request, tokensAhead) }
        late.forEach { service.queue.remove(it) }
        late.forEach { request ->
            val arrival = request.arrival
            val tokensAhead = service.queue.costAhead(arrival.priority, arrival.workspace, request.weight)
            refusals.refuseForCapacity(service, request, estimate, tokensAhead)
        }
    }

    fun refuse(
        service: ServiceState,
        request: RoutedRequest,
        reason: RefusalReason,
    ) = refusals.refuse(service, request, reason)

    private fun tryStart(
        service: ServiceState,
        request: RoutedRequest,
    ): Boolean {
        val entry = TargetSelector.choose(service.entries, request, isUsable)
        if (entry != null) return launch(service, request, entry, null)
        val remote = remoteDaemonSelector.choose(service, request) ?: return false
        return launch(service, request, null, remote)
    }

    private fun launch(
        service: ServiceState,
        request: RoutedRequest,
        entry: CandidateEntry?,
        remote: RemoteDaemonEntry?,
    ): Boolean {
        if (request.attemptCount == 0) service.retryBudget.earn(state.settings)
        request.attemptCount += 1
        val record = AttemptRecord(request.attemptCount, request.arrival.estimatedTokens, now, service, entry, remote)
        val key = AttemptKey(request.id, record.number)
        request.currentAttempt = record
        state.attempts[key] = record
        if (entry != null) startLocally(entry, key)
        if (remote != null) forward(service, request, remote, key)
        return true
    }

    private fun startLocally(
        entry: CandidateEntry,
        key: AttemptKey,
    ) {
        entry.recordStart(key, now)
        val candidate = entry.candidate
        decisions.add(RouterDecision.StartAttempt(key.request, key.attempt, candidate.host, candidate.boot))
    }

    private fun forward(
        service: ServiceState,
        request: RoutedRequest,
        remote: RemoteDaemonEntry,
        key: AttemptKey,
    ) {
        remote.recordForward()
        service.forwardedCount += 1
        request.forwardCount += 1
        decisions.add(RouterDecision.ForwardRequest(key.request, key.attempt, remote.capacity.daemon))
    }
}

/** Selects the daemon of another failure domain to which a request is forwarded. */
internal class RemoteDaemonSelector(
    private val state: RouterState,
    private val now: Instant,
) {
    /**
     * Whether [request] may be forwarded: a request crosses failure domains only once, but after a rejection it may be
     * forwarded to another daemon.
     */
    fun mayForward(request: RoutedRequest): Boolean = !request.arrival.forwarded && request.forwardCount < MAX_FORWARDS

    /** Returns the daemon with the most free capacity, or null if none has any. */
    fun choose(
        service: ServiceState,
        request: RoutedRequest,
    ): RemoteDaemonEntry? {
        if (!mayForward(request)) return null
        return service.remotes.values
            .filter { remainingRequests(it) > 0 }
            .maxByOrNull { remainingRequests(it) }
    }

    private fun remainingRequests(remote: RemoteDaemonEntry): Int {
        val domain = remote.capacity.failureDomain
        if (domain in state.outDomains) return 0
        return remote.remainingRequests(
            now,
            state.settings.remoteReportFreshness,
            usableFraction(state.returnedAt[domain]),
        )
    }

    private fun usableFraction(returnedAt: Instant?): Double {
        if (returnedAt == null) return 1.0
        val elapsed = Duration.between(returnedAt, now).toMillis().toDouble()
        return (elapsed / state.settings.remoteSlowStart.toMillis()).coerceIn(MIN_CAPACITY_FRACTION, 1.0)
    }

    private companion object {
        const val MAX_FORWARDS = 3
        const val MIN_CAPACITY_FRACTION = 0.1
    }
}
