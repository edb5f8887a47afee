/*
 * What the traffic thread counts and remembers between requests. Touched on the traffic thread only; the control thread
 * publishes views and reads summaries through the methods that say so.
 */
package org.vanillalink.gateway.traffic

import org.vanillalink.gateway.ports.AnswerMarks
import org.vanillalink.gateway.ports.EntryBounds
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
    private val bounds: EntryBounds,
    random: Random,
) {
    @Volatile
    var view = TrafficView()

    val inFlight = InFlightCounts()
    val stalls = StallDetector()
    val failures = PoisonRequestDetector()
    val demand = ModelDemand()
    private val notices = TargetAvailability()
    private val leaving = HashMap<TargetInstance, Long>()
    private val cold = ColdTargetLimiter()
    private val choice = TargetSelector(random)
    private val budgets = HashMap<ServiceName, RetryBudget>()
    private val avoidedUntil = HashMap<HostId, Long>()
    private val domainOf = HashMap<HostId, FailureDomainId>()
    private var stalled: Map<HostId, Long> = emptyMap()
    private var unreachable: Set<FailureDomainId> = emptySet()
    val paths = ReachabilityMonitor()

    /** The best target for a call to [service], of [model] where it has an engine, or null. */
    fun choose(
        service: ServiceDefinition,
        model: String?,
        excluded: Set<HostId>,
        now: Long,
    ): ChosenTarget? {
        if (service.engine == null || model == null) return choosePlain(service, excluded, now)
        return chooseGroup(service, model, excluded, now)
    }

    private fun chooseGroup(
        service: ServiceDefinition,
        model: String,
        excluded: Set<HostId>,
        now: Long,
    ): ChosenTarget? {
        val current = view
        val perSlot = if (excluded.isEmpty()) FRESH_LIMIT_PER_SLOT else REPEATED_LIMIT_PER_SLOT
        val limit = (service.engine?.slots ?: 1) * perSlot
        val groups = current.groups(service.name, model).associateBy { it.head.id }
        val heads = groups.values.map { it.head }
        val chosen = choose(service, heads, excluded, limit.toInt(), now) ?: return null
        val group = groups.getValue(chosen.target)
        return ChosenTarget(group.head, group, chosen.inFlight, heads.size)
    }

    private fun choosePlain(
        service: ServiceDefinition,
        excluded: Set<HostId>,
        now: Long,
    ): ChosenTarget? {
        val entries = view.plainTargets[service.name].orEmpty().associateBy { it.id }
        val limit = entries.values.minOfOrNull { it.slots }?.times(PLAIN_LIMIT_PER_SLOT) ?: return null
        val chosen = choose(service, entries.values, excluded, limit, now) ?: return null
        return ChosenTarget(entries.getValue(chosen.target), null, chosen.inFlight, entries.size)
    }

    private fun choose(
        service: ServiceDefinition,
        targets: Collection<TargetEntry>,
        excluded: Set<HostId>,
        limit: Int,
        now: Long,
    ): Candidate? {
        val current = view
        val usable = targets.filter { it.id !in excluded && isUsable(it, now) }
        val (sound, unsound) = usable.partition { isSound(it, now) }
        val spread = if (excluded.isEmpty()) 0 else REPEATED_SPREAD
        val secondChoice = if (sound.isEmpty()) unsound else unsound.filter(::isDoubtful)
        return listOf(sound, secondChoice).firstNotNullOfOrNull { tier ->
            choice.select(tier.map { candidate(service, it, limit, now, current.sharers) }, spread, current.sharers)
        }
    }

    /** Whether [target] has been quiet for so short a time that a request there is worth more than a refusal. */
    private fun isDoubtful(target: TargetEntry): Boolean =
        target.failureDomain !in unreachable && (stalled[target.id] ?: 0) < DOUBTFUL_MILLISECONDS

    /** What stands against sending a call of [model] to [service] now, for the log. */
    fun describe(
        service: ServiceDefinition,
        model: String?,
        now: Long,
    ): String {
        val targets = targets(service, model)
        val usable = targets.filter { isUsable(it, now) }
        val least = usable.minOfOrNull { inFlight.total(it.id, now) }
        val unsound = usable.count { !isSound(it, now) }
        return "full(targets=${targets.size},closed=${targets.size - usable.size},least=$least,unsound=$unsound)"
    }

    /**
     * The milliseconds until the first target for a call of [model] to [service] takes requests again, where all that
     * there are want none now; else null.
     */
    fun restLeft(
        service: ServiceDefinition,
        model: String?,
        now: Long,
    ): Long? = targets(service, model)
        .filter { isOffered(it) }
        .minOfOrNull { notices.remainingBackOff(it.instance, now) }
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
    ): Boolean = isOffered(target) && notices.remainingBackOff(target.instance, now) == 0L

    private fun isOffered(target: TargetEntry): Boolean =
        target.failureDomain !in view.evacuated && !target.isLeaving && !notices.isLeaving(target.instance)

    /** [target] has said of itself what the [marks] of its answer show. */
    fun noticed(
        target: TargetEntry,
        marks: AnswerMarks,
        now: Long,
    ) {
        if (marks.isLeaving) {
            notices.recordLeaving(target.instance, now)
            leaving[target.instance] = now
        }
        marks.restMilliseconds?.let { notices.recordRetryAfter(target.instance, it, now) }
    }

    /** Targets that have told this daemon since [since] that they leave. */
    fun leavingSince(since: Long): Set<TargetInstance> {
        leaving.values.removeIf { it <= since }
        return leaving.keys.toSet()
    }

    private fun isSound(
        target: TargetEntry,
        now: Long,
    ): Boolean = (avoidedUntil[target.id] ?: 0) <= now && target.id !in stalled && target.failureDomain !in unreachable

    /** Looks for targets and failure domains that stand still; gives the targets, with how long they have. */
    fun watch(now: Long): Map<HostId, Long> {
        val standing = stalls.stalledTargets(now)
        val work =
            stalls
                .targetsWithRequests()
                .mapNotNull { id ->
                    domainOf[id]?.let { it to id }
                }.groupBy({ it.first }, { it.second })
        unreachable =
            paths.findUnreachable(
                work.mapValues { (_, ids) ->
                    DomainProgress(ids.size, ids.count { it in standing })
                },
                now,
            )
        stalled = standing
        return standing
    }

    /** Targets of failure domains that can't be reached. */
    fun unreachableTargets(): Set<HostId> = domainOf.filterValues { it in unreachable }.keys

    private fun candidate(
        service: ServiceDefinition,
        target: TargetEntry,
        limit: Int,
        now: Long,
        sharers: Int,
    ): Candidate {
        val perSecond = service.coldRequestsPerSecond
        val admitted = perSecond <= 0 || cold.isAllowed(target.id, now, perSecond, sharers)
        return Candidate(target.id, inFlight.total(target.id, now), limit, admitted)
    }

    /** Something went wrong at [target]; others are preferred for a while. */
    fun avoid(
        target: HostId,
        now: Long,
    ) {
        avoidedUntil[target] = now + AVOID_MILLISECONDS
    }

    /** A request leaves for [entry]. */
    fun begun(
        entry: TargetEntry,
        now: Long,
    ) {
        inFlight.recordStart(entry.id)
        stalls.recordStart(entry.id, now)
        cold.recordSent(entry.id, now)
        domainOf[entry.id] = entry.failureDomain
    }

    /** A request at [target] has ended, however; [hadBegun] tells whether bytes of its answer had come. */
    fun ended(
        target: HostId,
        hadBegun: Boolean,
    ) {
        inFlight.recordEnd(target)
        stalls.recordEnd(target, hadBegun)
    }

    /** A caller's request for [service] has arrived, of [model] where it has an engine. */
    fun requested(
        service: ServiceDefinition,
        model: String?,
        now: Long,
    ) {
        budget(service.name).recordRequest(now)
        if (service.engine != null && model != null) demand.recordRequest(model, now)
    }

    /** Whether one more target may be tried for a request to [service]. */
    fun takeRetry(
        service: ServiceName,
        now: Long,
    ): Boolean = budget(service).tryAcquire(now, view.sharers)

    /** Forgets marks of targets that are gone. */
    fun tidy(now: Long) {
        avoidedUntil.values.removeIf { it <= now }
        val current = view
        val known = (current.groups.map { it.head } + current.plainTargets.values.flatten()).map { it.id }.toSet()
        domainOf.keys.retainAll(known + stalls.targetsWithRequests())
        cold.retainTargets(known)
        notices.removeExpired(now)
    }

    private fun budget(service: ServiceName): RetryBudget = budgets.getOrPut(service) {
        RetryBudget(RetryBudgetSettings(bounds.retryRatio, bounds.retryWindowMilliseconds, bounds.retrySlack))
    }

    private companion object {
        /** Requests beyond the batch wait in the engine's queue, and their first events come late. */
        const val FRESH_LIMIT_PER_SLOT = 1.06

        /** A stream that has lost its group is worth a wait: what it has would be in vain. */
        const val REPEATED_LIMIT_PER_SLOT = 1.9

        /** All streams of a lost group move at once, and all daemons see the same least used group. */
        const val REPEATED_SPREAD = 3

        /** Plain services queue a few requests behind those that run. */
        const val PLAIN_LIMIT_PER_SLOT = 3

        /** Twice the time that a long prompt takes until its first event in a group that has just begun. */
        const val DOUBTFUL_MILLISECONDS = 600L

        /** About the time in which the registry or a repeated try tells more. */
        const val AVOID_MILLISECONDS = 1_000L
    }
}
