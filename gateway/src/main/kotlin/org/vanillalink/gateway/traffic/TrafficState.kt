/*
 * The counts and budgets that the traffic thread keeps between requests. Confined to the traffic thread, except that
 * the control thread replaces [TrafficState.view].
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
import org.vanillalink.serving.balancing.TargetRateLimiter
import org.vanillalink.serving.balancing.TargetSelector
import org.vanillalink.serving.balancing.TrialSchedule
import org.vanillalink.serving.balancing.WaitingRequests
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

/** What kind of target an attempt asks for. */
internal data class TargetPreferences(
    /** Whether the request may have a second attempt, so that it can be sent to a target as a trial. */
    val isHedgeable: Boolean = false,
    /** Whether only a target that works and has a free slot is of use. */
    val needsFreeSlot: Boolean = false,
    /** How many requests for each slot a group may have for a first attempt, or null for the usual limit. */
    val limitPerSlot: Double? = null,
    /** Within how many milliseconds the first event of a first attempt is on time, or null if that doesn't matter. */
    val goalMilliseconds: Long? = null,
)

/** In-flight counts, retry budgets, and the state of targets. */
internal class TrafficState(
    private val limits: GatewayLimits,
    random: Random,
) {
    @Volatile
    var view = TrafficView()

    val inFlight = InFlightCounts()
    val stallDetector = StallDetector()
    val poisonDetector = PoisonRequestDetector(random)
    val demand = ModelDemand()
    private val targetAvailability = TargetAvailability()
    private val leavingNoticedAt = HashMap<TargetInstance, Long>()
    private val coldTargetLimiter = ColdTargetLimiter()
    val limitedTargets = LimitedTargets(coldTargetLimiter) { view }
    private val targetSelector = TargetSelector(random)
    private val retryBudgets = HashMap<ServiceName, RetryBudget>()
    private val avoidedUntil = HashMap<HostId, Long>()
    private val failureDomainByTarget = HashMap<HostId, FailureDomainId>()
    private var stalledTargets: Map<HostId, Long> = emptyMap()

    /** The failure domains that can't be reached from here. */
    var unreachableDomains: Set<FailureDomainId> = emptySet()
        private set
    private val trialSchedule = TrialSchedule(random)
    val reachabilityMonitor = ReachabilityMonitor(trialSchedule)
    val groupProgress = GroupProgress(trialSchedule, reachabilityMonitor, stallDetector, inFlight) { view }

    /** The best target for a call to [service], of [model] where it has an engine; null if none has capacity. */
    fun chooseTarget(
        service: ServiceDefinition,
        model: String?,
        excludedTargets: Set<HostId>,
        now: Long,
        preferences: TargetPreferences = TargetPreferences(),
    ): ChosenTarget? {
        if (service.engine == null || model == null) return choosePlain(service, excludedTargets, now, preferences)
        return chooseGroup(service, model, excludedTargets, now, preferences)
    }

    private fun chooseGroup(
        service: ServiceDefinition,
        model: String,
        excludedTargets: Set<HostId>,
        now: Long,
        preferences: TargetPreferences,
    ): ChosenTarget? {
        val currentView = view
        val needsSlot = excludedTargets.isEmpty() || preferences.needsFreeSlot
        val firstLimitPerSlot = preferences.limitPerSlot ?: WaitingRequests.USUAL_PER_SLOT
        val limitPerSlot = if (needsSlot) firstLimitPerSlot else RETRY_LIMIT_PER_SLOT
        val engine = service.engine ?: return null
        // A request that may queue at the target, ahead of less urgent ones, has a limit of its own.
        val isUsualLimit = firstLimitPerSlot <= WaitingRequests.USUAL_PER_SLOT
        val goal = preferences.goalMilliseconds?.takeIf { excludedTargets.isEmpty() && isUsualLimit }
        val limitByGoal = goal?.let { groupProgress.maxRequests(engine, model, it) } ?: Int.MAX_VALUE
        val limit = minOf((engine.slots * limitPerSlot).toInt(), limitByGoal)
        val groups = currentView.groups(service.name, model).associateBy { it.head.id }
        val heads = groups.values.map { it.head }
        val chosenCandidate =
            chooseCandidate(service, model, heads, excludedTargets, limit, now, preferences) ?: return null
        val group = groups.getValue(chosenCandidate.target)
        return ChosenTarget(group.head, group, chosenCandidate.inFlight, heads.size)
    }

    private fun choosePlain(
        service: ServiceDefinition,
        excludedTargets: Set<HostId>,
        now: Long,
        preferences: TargetPreferences,
    ): ChosenTarget? {
        val entries = view.plainTargets[service.name].orEmpty().associateBy { it.id }
        val limit = entries.values.minOfOrNull { it.slots }?.times(PLAIN_LIMIT_PER_SLOT) ?: return null
        val chosenCandidate =
            chooseCandidate(service, null, entries.values, excludedTargets, limit, now, preferences) ?: return null
        return ChosenTarget(entries.getValue(chosenCandidate.target), null, chosenCandidate.inFlight, entries.size)
    }

    private fun chooseCandidate(
        service: ServiceDefinition,
        model: String?,
        targets: Collection<TargetEntry>,
        excludedTargets: Set<HostId>,
        limit: Int,
        now: Long,
        preferences: TargetPreferences,
    ): Candidate? {
        val usable = targets.filter { it.id !in excludedTargets && isUsable(it, now) }
        val (healthy, unhealthy) = usable.partition { isHealthy(it, now) }
        val occupancy = demand.occupancyMilliseconds(service.capacityName(model), now)
        val estimate = inFlight.estimate(usable.mapTo(HashSet()) { it.id }, occupancy, now)
        // All daemons move the streams of a lost group at the same time.
        val moved = excludedTargets.sumOf { inFlight.total(it, now) }
        val mayBeTrial = excludedTargets.isEmpty()
        val trials =
            unhealthy.filter {
                mayBeTrial &&
                    groupProgress.isTrialDue(it, unreachableDomains, preferences.isHedgeable, now)
            }
        val fallback =
            when {
                preferences.needsFreeSlot -> emptyList()
                healthy.isEmpty() -> unhealthy
                else -> unhealthy.filter(::isBrieflyStalled)
            }
        return listOf(trials, healthy, fallback).firstNotNullOfOrNull { tier ->
            targetSelector.select(
                tier.map { buildCandidate(service, it, limit, now, estimate.at(it.id)) },
                estimate.unseenRequests + moved,
            )
        }
    }

    /** Whether [target] has stalled so briefly that a request there is preferable to a refusal. */
    private fun isBrieflyStalled(target: TargetEntry): Boolean =
        target.failureDomain !in unreachableDomains && (stalledTargets[target.id] ?: 0) < BRIEF_STALL_MILLISECONDS

    /** Describes why no target takes a call of [model] to [service] now, for the log. */
    fun describe(
        service: ServiceDefinition,
        model: String?,
        now: Long,
    ): String {
        val targets = targets(service, model)
        val usable = targets.filter { isUsable(it, now) }
        val least = usable.minOfOrNull { inFlight.total(it.id, now) }
        val unhealthy = usable.count { !isHealthy(it, now) }
        val counts = "targets=${targets.size},closed=${targets.size - usable.size},least=$least,unsound=$unhealthy"
        return "full($counts${limitedTargets.describe(usable, now)})"
    }

    /**
     * The milliseconds until a target that has no room now takes a call of [model] to [service] again: the first one
     * that sent a Retry-After, if all did, or whose limit is used up. Null if that isn't known.
     */
    fun retryAfterMilliseconds(
        service: ServiceDefinition,
        model: String?,
        now: Long,
    ): Long? {
        val accepting = targets(service, model).filter { acceptsRequests(it) }
        val limitDelays = accepting.map { limitedTargets.delay(it, now) }
        val backOffs = accepting.map { targetAvailability.remainingBackOff(it.instance, now) }
        val delays = backOffs.zip(limitDelays, ::maxOf)
        // If some targets are merely full, it isn't known when they have room.
        val known = if (delays.all { it > 0 }) delays else limitDelays
        return known.filter { it > 0 && it != TargetRateLimiter.NEVER }.minOrNull()
    }

    /** The targets of [service], of [model] where it has an engine, whether or not they are usable. */
    fun targets(
        service: ServiceDefinition,
        model: String?,
    ): List<TargetEntry> {
        if (service.engine == null) return view.plainTargets[service.name].orEmpty()
        return view.groups(service.name, model.orEmpty()).map { it.head }
    }

    /** Whether [target] takes requests now, unless it is full. */
    fun isUsable(
        target: TargetEntry,
        now: Long,
    ): Boolean = acceptsRequests(target) && targetAvailability.remainingBackOff(target.instance, now) == 0L

    private fun acceptsRequests(target: TargetEntry): Boolean =
        target.failureDomain !in view.evacuated && !target.isLeaving && !targetAvailability.isLeaving(target.instance)

    /** Records the announcements of [target] in the [metadata] of its response. */
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

    /** Targets that have announced since [since] that they leave; removes older announcements. */
    fun leavingSince(since: Long): Set<TargetInstance> {
        leavingNoticedAt.values.removeIf { it <= since }
        return leavingNoticedAt.keys.toSet()
    }

    private fun isHealthy(
        target: TargetEntry,
        now: Long,
    ): Boolean = (avoidedUntil[target.id] ?: 0) <= now &&
        target.id !in stalledTargets &&
        target.failureDomain !in unreachableDomains &&
        view.groupAt(target.id)?.let { groupProgress.standing.isStanding(it.key) } != true

    /** Detects stalled targets and unreachable failure domains; returns the targets and for how long they stall. */
    fun detectStalls(now: Long): Map<HostId, Long> {
        val stalledDurations = stallDetector.stalledTargets(now)
        val outstandingByDomain =
            stallDetector
                .targetsWithRequests()
                .mapNotNull { id ->
                    failureDomainByTarget[id]?.let { it to id }
                }.groupBy({ it.first }, { it.second })
        val previouslyUnreachable = unreachableDomains
        unreachableDomains =
            reachabilityMonitor.findUnreachable(
                outstandingByDomain.mapValues { (_, ids) ->
                    DomainProgress(ids.size, ids.count { it in stalledDurations })
                },
                now,
                view.budgetDaemons,
            )
        groupProgress.onReachable(previouslyUnreachable - unreachableDomains, now)
        stalledTargets = stalledDurations
        return stalledDurations
    }

    /** Targets in unreachable failure domains. */
    fun unreachableTargets(): Set<HostId> = failureDomainByTarget.filterValues { it in unreachableDomains }.keys

    private fun buildCandidate(
        service: ServiceDefinition,
        target: TargetEntry,
        limit: Int,
        now: Long,
        expectedInFlight: Double,
    ): Candidate {
        val coldRate = service.coldRequestsPerSecond
        val isAdmitted = coldRate <= 0 || coldTargetLimiter.isAllowed(target.id, now, coldRate, view.budgetDaemons)
        val isWithinRateLimits = isAdmitted && limitedTargets.delay(target, now) == 0L
        val isFar = target.failureDomain != (view.failureDomain ?: target.failureDomain)
        val distance = if (isFar) (service.engine?.slots ?: 0) * FAR_SLOT_SHARE else 0.0
        return Candidate(
            target = target.id,
            inFlight = inFlight.total(target.id, now),
            maxInFlight = limit,
            isWithinRateLimits = isWithinRateLimits,
            expectedInFlight = expectedInFlight,
            distance = distance,
            certainRoom = target.slots / 2,
        )
    }

    /** Prefers other targets over [target] for a while, after a failure. */
    fun avoid(
        target: HostId,
        now: Long,
    ) {
        avoidedUntil[target] = now + AVOIDANCE_MILLISECONDS
    }

    /** Records that a request is sent to [entry]. */
    fun recordSent(
        entry: TargetEntry,
        now: Long,
    ) {
        inFlight.recordStart(entry.id)
        stallDetector.recordStart(entry.id, now)
        coldTargetLimiter.recordSent(entry.id, now)
        limitedTargets.recordSent(entry.id)
        failureDomainByTarget[entry.id] = entry.failureDomain
        reachabilityMonitor.recordSent(entry.failureDomain, now, view.budgetDaemons)
    }

    /** Records the end of a request at [target]; [hasResponseBegun] is whether bytes of its response were received. */
    fun recordEnded(
        target: HostId,
        hasResponseBegun: Boolean,
    ) {
        inFlight.recordEnd(target)
        stallDetector.recordEnd(target, hasResponseBegun)
    }

    /** Records the arrival of a request for [service], of [model] where it has an engine. */
    fun recordRequest(
        service: ServiceDefinition,
        model: String?,
        now: Long,
    ) {
        retryBudget(service.name).recordRequest(now)
        service.capacityName(model)?.let { demand.recordRequest(it, now) }
    }

    /** Records a complete answer of [service], of [model] where it has an engine, that took [milliseconds]. */
    fun recordCompletion(
        service: ServiceDefinition,
        model: String?,
        milliseconds: Long,
        now: Long,
    ) {
        service.capacityName(model)?.let { demand.recordCompletion(it, milliseconds, now) }
    }

    /** Takes one retry for [service] from the budget; returns whether it was available. */
    fun takeRetry(
        service: ServiceName,
        now: Long,
    ): Boolean = retryBudget(service).tryAcquire(now, view.budgetDaemons)

    /** Removes expired state and the state of targets that no longer exist. */
    fun removeExpired(now: Long) {
        avoidedUntil.values.removeIf { it <= now }
        val currentView = view
        val knownTargets = currentView.targets().map { it.id }.toSet()
        failureDomainByTarget.keys.retainAll(knownTargets + stallDetector.targetsWithRequests())
        coldTargetLimiter.retainTargets(knownTargets)
        limitedTargets.removeExpired(knownTargets, now)
        targetAvailability.removeExpired(now)
        groupProgress.removeExpired()
    }

    /** This daemon's share of the retry budget of [service]. */
    fun retryBudget(service: ServiceName): RetryBudget = retryBudgets.getOrPut(service) {
        RetryBudget(RetryBudgetSettings(limits.retryRatio, limits.retryWindowMilliseconds, limits.retrySlack))
    }

    private companion object {
        /** A stream that lost its group may queue: the events sent so far would be wasted otherwise. */
        const val RETRY_LIMIT_PER_SLOT = 1.9

        /**
         * By which share of its slots a group in another failure domain counts as fuller. Events come on time from
         * groups that are fuller than others by this much.
         */
        const val FAR_SLOT_SHARE = 0.4

        /** Plain services queue a few requests behind those being executed. */
        const val PLAIN_LIMIT_PER_SLOT = 3

        /** Twice the time to the first event of a long prompt in a newly formed group. */
        const val BRIEF_STALL_MILLISECONDS = 600L

        /** About the time in which the registry or a retry shows the state of the target. */
        const val AVOIDANCE_MILLISECONDS = 1_000L
    }
}
