/*
 * What the traffic thread counts and remembers between requests. Touched on the traffic thread only; the control thread
 * publishes views and reads summaries through the methods that say so.
 */
package org.vanillalink.gateway.traffic

import org.vanillalink.gateway.ports.GatewayLimits
import org.vanillalink.gateway.ports.ResponseMetadata
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.HostId
import org.vanillalink.model.ServiceName
import org.vanillalink.serving.balancing.Candidate
import org.vanillalink.serving.balancing.ColdTargetLimiter
import org.vanillalink.serving.balancing.DomainProgress
import org.vanillalink.serving.balancing.InFlightCounts
import org.vanillalink.serving.balancing.ModelDemand
import org.vanillalink.serving.balancing.PoisonRequestDetector
import org.vanillalink.serving.balancing.ReachabilityMonitor
import org.vanillalink.serving.balancing.RetryBudget
import org.vanillalink.serving.balancing.RetryBudgetSettings
import org.vanillalink.serving.balancing.StallDetector
import org.vanillalink.serving.balancing.TargetAvailability
import org.vanillalink.serving.balancing.TargetSelector
import org.vanillalink.serving.catalog.ServiceDefinition
import org.vanillalink.serving.targets.TargetEntry
import org.vanillalink.serving.targets.TargetInstance
import kotlin.random.Random

/** A target chosen for an attempt; [group] is null for plain services. */
internal data class ChosenTarget(
    val entry: TargetEntry,
    val group: RoutableGroup?,
    val inFlight: Int,
    val candidates: Int,
)

/** Counts, budgets and marks. */
internal class TrafficState(
    private val limits: GatewayLimits,
    random: Random,
) {
    @Volatile
    var view = TrafficView()

    val inFlight = InFlightCounts()
    val stallDetector = StallDetector()
    val poisonDetector = PoisonRequestDetector()
    val demand = ModelDemand()
    private val targetAvailability = TargetAvailability()
    private val leavingNoticedAt = HashMap<TargetInstance, Long>()
    private val coldTargetLimiter = ColdTargetLimiter()
    private val targetSelector = TargetSelector(random)
    private val retryBudgets = HashMap<ServiceName, RetryBudget>()
    private val avoidedUntil = HashMap<HostId, Long>()
    private val failureDomainByTarget = HashMap<HostId, FailureDomainId>()
    private var stalledTargets: Map<HostId, Long> = emptyMap()
    private var unreachableDomains: Set<FailureDomainId> = emptySet()
    val reachabilityMonitor = ReachabilityMonitor()

    /** The best target for a call to [service], of [model] where it has an engine, or null. */
    fun chooseTarget(
        service: ServiceDefinition,
        model: String?,
        excludedTargets: Set<HostId>,
        now: Long,
    ): ChosenTarget? {
        if (service.engine == null || model == null) return choosePlain(service, excludedTargets, now)
        return chooseGroup(service, model, excludedTargets, now)
    }

    private fun chooseGroup(
        service: ServiceDefinition,
        model: String,
        excludedTargets: Set<HostId>,
        now: Long,
    ): ChosenTarget? {
        val currentView = view
        val limitPerSlot = if (excludedTargets.isEmpty()) FIRST_ATTEMPT_LIMIT_PER_SLOT else RETRY_LIMIT_PER_SLOT
        val limit = (service.engine?.slots ?: 1) * limitPerSlot
        val groups = currentView.groups(service.name, model).associateBy { it.head.id }
        val heads = groups.values.map { it.head }
        val chosenCandidate = chooseCandidate(service, heads, excludedTargets, limit.toInt(), now) ?: return null
        val group = groups.getValue(chosenCandidate.target)
        return ChosenTarget(group.head, group, chosenCandidate.inFlight, heads.size)
    }

    private fun choosePlain(
        service: ServiceDefinition,
        excludedTargets: Set<HostId>,
        now: Long,
    ): ChosenTarget? {
        val entries = view.plainTargets[service.name].orEmpty().associateBy { it.id }
        val limit = entries.values.minOfOrNull { it.slots }?.times(PLAIN_LIMIT_PER_SLOT) ?: return null
        val chosenCandidate = chooseCandidate(service, entries.values, excludedTargets, limit, now) ?: return null
        return ChosenTarget(entries.getValue(chosenCandidate.target), null, chosenCandidate.inFlight, entries.size)
    }

    private fun chooseCandidate(
        service: ServiceDefinition,
        targets: Collection<TargetEntry>,
        excludedTargets: Set<HostId>,
        limit: Int,
        now: Long,
    ): Candidate? {
        val currentView = view
        val usable = targets.filter { it.id !in excludedTargets && isUsable(it, now) }
        val (healthy, unhealthy) = usable.partition { isHealthy(it, now) }
        val spread = if (excludedTargets.isEmpty()) 0 else RETRY_SPREAD
        val fallback = if (healthy.isEmpty()) unhealthy else unhealthy.filter(::isBrieflyStalled)
        return listOf(healthy, fallback).firstNotNullOfOrNull { tier ->
            targetSelector.select(
                tier.map { buildCandidate(service, it, limit, now, currentView.budgetDaemons) },
                spread,
                currentView.budgetDaemons,
            )
        }
    }

    /** Whether [target] has been quiet for so short a time that a request there is worth more than a refusal. */
    private fun isBrieflyStalled(target: TargetEntry): Boolean =
        target.failureDomain !in unreachableDomains && (stalledTargets[target.id] ?: 0) < BRIEF_STALL_MILLISECONDS

    /** What stands against sending a call of [model] to [service] now, for the log. */
    fun describe(
        service: ServiceDefinition,
        model: String?,
        now: Long,
    ): String {
        val targets = targets(service, model)
        val usable = targets.filter { isUsable(it, now) }
        val least = usable.minOfOrNull { inFlight.total(it.id, now) }
        val unhealthy = usable.count { !isHealthy(it, now) }
        return "full(targets=${targets.size},closed=${targets.size - usable.size},least=$least,unsound=$unhealthy)"
    }

    /**
     * The milliseconds until the first target for a call of [model] to [service] takes requests again, where all that
     * there are want none now; else null.
     */
    fun retryAfterMilliseconds(
        service: ServiceDefinition,
        model: String?,
        now: Long,
    ): Long? = targets(service, model)
        .filter { acceptsRequests(it) }
        .minOfOrNull { targetAvailability.remainingBackOff(it.instance, now) }
        ?.takeIf { it > 0 }

    private fun targets(
        service: ServiceDefinition,
        model: String?,
    ): List<TargetEntry> {
        if (service.engine == null) return view.plainTargets[service.name].orEmpty()
        return view.groups(service.name, model.orEmpty()).map { it.head }
    }

    private fun isUsable(
        target: TargetEntry,
        now: Long,
    ): Boolean = acceptsRequests(target) && targetAvailability.remainingBackOff(target.instance, now) == 0L

    private fun acceptsRequests(target: TargetEntry): Boolean =
        target.failureDomain !in view.evacuated && !target.isLeaving && !targetAvailability.isLeaving(target.instance)

    /** [target] has said of itself what the [metadata] of its answer show. */
    fun recordMetadata(
        target: TargetEntry,
        metadata: ResponseMetadata,
        now: Long,
    ) {
        if (metadata.isLeaving) {
            targetAvailability.recordLeaving(target.instance, now)
            leavingNoticedAt[target.instance] = now
        }
        metadata.retryAfterMilliseconds?.let { targetAvailability.recordRetryAfter(target.instance, it, now) }
    }

    /** Targets that have told this daemon since [since] that they leave. */
    fun leavingSince(since: Long): Set<TargetInstance> {
        leavingNoticedAt.values.removeIf { it <= since }
        return leavingNoticedAt.keys.toSet()
    }

    private fun isHealthy(
        target: TargetEntry,
        now: Long,
    ): Boolean = (avoidedUntil[target.id] ?: 0) <= now &&
        target.id !in stalledTargets &&
        target.failureDomain !in unreachableDomains

    /** Looks for targets and failure domains that stand still; gives the targets, with how long they have. */
    fun detectStalls(now: Long): Map<HostId, Long> {
        val stalledDurations = stallDetector.stalledTargets(now)
        val outstandingByDomain =
            stallDetector
                .targetsWithRequests()
                .mapNotNull { id ->
                    failureDomainByTarget[id]?.let { it to id }
                }.groupBy({ it.first }, { it.second })
        unreachableDomains =
            reachabilityMonitor.findUnreachable(
                outstandingByDomain.mapValues { (_, ids) ->
                    DomainProgress(ids.size, ids.count { it in stalledDurations })
                },
                now,
            )
        stalledTargets = stalledDurations
        return stalledDurations
    }

    /** Targets of failure domains that can't be reached. */
    fun unreachableTargets(): Set<HostId> = failureDomainByTarget.filterValues { it in unreachableDomains }.keys

    private fun buildCandidate(
        service: ServiceDefinition,
        target: TargetEntry,
        limit: Int,
        now: Long,
        budgetDaemons: Int,
    ): Candidate {
        val coldRate = service.coldRequestsPerSecond
        val isAdmitted = coldRate <= 0 || coldTargetLimiter.isAllowed(target.id, now, coldRate, budgetDaemons)
        return Candidate(target.id, inFlight.total(target.id, now), limit, isAdmitted)
    }

    /** Something went wrong at [target]; others are preferred for a while. */
    fun avoid(
        target: HostId,
        now: Long,
    ) {
        avoidedUntil[target] = now + AVOIDANCE_MILLISECONDS
    }

    /** A request leaves for [entry]. */
    fun recordSent(
        entry: TargetEntry,
        now: Long,
    ) {
        inFlight.recordStart(entry.id)
        stallDetector.recordStart(entry.id, now)
        coldTargetLimiter.recordSent(entry.id, now)
        failureDomainByTarget[entry.id] = entry.failureDomain
    }

    /** A request at [target] has ended, however; [hasResponseBegun] tells whether bytes of its answer had come. */
    fun recordEnded(
        target: HostId,
        hasResponseBegun: Boolean,
    ) {
        inFlight.recordEnd(target)
        stallDetector.recordEnd(target, hasResponseBegun)
    }

    /** A caller's request for [service] has arrived, of [model] where it has an engine. */
    fun recordRequest(
        service: ServiceDefinition,
        model: String?,
        now: Long,
    ) {
        retryBudget(service.name).recordRequest(now)
        if (service.engine != null && model != null) demand.recordRequest(model, now)
    }

    /** Whether one more target may be tried for a request to [service]. */
    fun takeRetry(
        service: ServiceName,
        now: Long,
    ): Boolean = retryBudget(service).tryAcquire(now, view.budgetDaemons)

    /** Forgets marks of targets that are gone. */
    fun removeExpired(now: Long) {
        avoidedUntil.values.removeIf { it <= now }
        val currentView = view
        val knownTargets =
            (currentView.groups.map { it.head } + currentView.plainTargets.values.flatten()).map { it.id }.toSet()
        failureDomainByTarget.keys.retainAll(knownTargets + stallDetector.targetsWithRequests())
        coldTargetLimiter.retainTargets(knownTargets)
        targetAvailability.removeExpired(now)
    }

    private fun retryBudget(service: ServiceName): RetryBudget = retryBudgets.getOrPut(service) {
        RetryBudget(RetryBudgetSettings(limits.retryRatio, limits.retryWindowMilliseconds, limits.retrySlack))
    }

    private companion object {
        /** Requests beyond the batch wait in the engine's queue, and their first events come late. */
        const val FIRST_ATTEMPT_LIMIT_PER_SLOT = 1.06

        /** A stream that has lost its group is worth a wait: what it has would be in vain. */
        const val RETRY_LIMIT_PER_SLOT = 1.9

        /** All streams of a lost group move at once, and all daemons see the same least used group. */
        const val RETRY_SPREAD = 3

        /** Plain services queue a few requests behind those that run. */
        const val PLAIN_LIMIT_PER_SLOT = 3

        /** Twice the time that a long prompt takes until its first event in a group that has just begun. */
        const val BRIEF_STALL_MILLISECONDS = 600L

        /** About the time in which the registry or a repeated try tells more. */
        const val AVOIDANCE_MILLISECONDS = 1_000L
    }
}
