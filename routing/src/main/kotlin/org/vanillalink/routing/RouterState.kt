/*
 * State of the router. It is mutated in place, because it is confined to the control thread and copying it for each
 * request would cost more than the decision.
 */
package org.vanillalink.routing

import org.vanillalink.model.DaemonId
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.HostId
import org.vanillalink.model.RequestId
import org.vanillalink.model.ServiceName
import org.vanillalink.model.WorkspaceId
import org.vanillalink.queueing.FairQueue
import java.time.Instant

/** One daemon's routing state, confined to the thread that calls [Router.handle]. */
class RouterState(
    settings: RouterSettings = RouterSettings(),
) {
    internal var settings: RouterSettings = settings
    internal val services = LinkedHashMap<ServiceName, ServiceState>()
    internal val requests = LinkedHashMap<RequestId, RoutedRequest>()
    internal val attempts = HashMap<AttemptKey, AttemptRecord>()
    internal val outDomains = HashSet<FailureDomainId>()
    internal val returnedAt = HashMap<FailureDomainId, Instant>()

    /** Number of requests of [service] that wait for a slot. */
    fun queueLength(service: ServiceName): Int = services[service]?.queue?.size ?: 0

    /** Number of requests that could start at [service]'s targets now; it is reported to other failure domains. */
    fun freeRequests(service: ServiceName): Int = services[service]?.entries?.sumOf { freeUnits(it) } ?: 0

    /** Number of this daemon's attempts that occupy a slot at [host]. */
    fun runningAttempts(
        service: ServiceName,
        host: HostId,
    ): Int = services[service]?.entry(host)?.unitsInUse ?: 0

    internal fun isUsable(entry: CandidateEntry): Boolean =
        entry.isListed && !entry.candidate.leaving && entry.candidate.failureDomain !in outDomains

    internal fun service(name: ServiceName): ServiceState =
        services.getOrPut(name) { ServiceState(name, RetryBudget(settings.retryBurst)) }

    private fun freeUnits(entry: CandidateEntry): Int {
        if (!isUsable(entry)) return 0
        return maxOf(0, minOf(entry.unitLimit - entry.unitsInUse, entry.candidate.capacity - entry.estimatedLoad))
    }
}

/** The router's state of one service. */
internal class ServiceState(
    val name: ServiceName,
    val retryBudget: RetryBudget,
) {
    val entries = ArrayList<CandidateEntry>()
    val remotes = LinkedHashMap<DaemonId, RemoteDaemonEntry>()
    val queue = FairQueue<RoutedRequest>()
    val serviceTimes = ServiceTimeEstimator()
    var expectedCapacity: RouterEvent.CapacityExpected? = null
    var forwardedCount = 0
    var noCapacitySince: Instant? = null
    var overloadRefusals = 0

    /** Earliest retry time for the next refused caller of each workspace, after those that were refused before it. */
    val nextRetryAt = HashMap<WorkspaceId, Instant>()
    var lastOverloadAt: Instant? = null

    fun entry(host: HostId): CandidateEntry? = entries.firstOrNull { it.candidate.host == host }
}
