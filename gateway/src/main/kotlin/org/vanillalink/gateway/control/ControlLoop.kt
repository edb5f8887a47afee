/*
 * The one thread that holds control state: the directory of targets, the configuration, peers, and the groups of the
 * failure domains that this daemon controls. Everything that happens is brought to it; it publishes a picture for
 * traffic.
 */
package org.vanillalink.gateway.control

import org.vanillalink.gateway.logs.EventLines
import org.vanillalink.gateway.logs.LoopDelay
import org.vanillalink.gateway.ports.EntrySettings
import org.vanillalink.gateway.ports.Registry
import org.vanillalink.gateway.ports.RegistryPart
import org.vanillalink.gateway.ports.RegistryRecord
import org.vanillalink.gateway.ports.TargetControl
import org.vanillalink.gateway.traffic.RoutableGroup
import org.vanillalink.gateway.traffic.TrafficView
import org.vanillalink.model.DaemonId
import org.vanillalink.model.FailureDomainId
import org.vanillalink.serving.balancing.Strike
import org.vanillalink.serving.catalog.ClockReading
import org.vanillalink.serving.catalog.CredentialFreshness
import org.vanillalink.serving.control.AnnouncedGroup
import org.vanillalink.serving.control.DomainView
import org.vanillalink.serving.control.GroupDecision
import org.vanillalink.serving.control.GroupEvent
import org.vanillalink.serving.control.ReportResult
import org.vanillalink.serving.peers.ControlledDomain
import org.vanillalink.serving.peers.OwnState
import org.vanillalink.serving.peers.OwnStatus
import org.vanillalink.serving.peers.PeerDirectory
import org.vanillalink.serving.peers.PeerMessage
import org.vanillalink.serving.targets.GroupKey
import org.vanillalink.serving.targets.ServingGroups
import org.vanillalink.serving.targets.TargetEntry
import org.vanillalink.serving.targets.TargetIndex
import org.vanillalink.store.TableStore
import java.time.Duration

/** Runs on the control thread only, but for what is marked otherwise. */
class ControlLoop internal constructor(
    private val settings: EntrySettings,
    private val thread: ControlThread,
    registry: Registry,
    table: TableStore,
    targets: TargetControl,
    private val traffic: TrafficSummary,
    private val lines: EventLines,
    private val clock: EntryClock,
    private val delay: LoopDelay,
) {
    private val knowledge = RegistryKnowledge(lines, clock, settings.bounds.relistMilliseconds)

    /** Read on the control thread only. */
    var board = PeerDirectory()
        private set
    private val work = DecisionExecutor(targets, thread, lines, ::answered)
    private var index = TargetIndex(knowledge.directory)
    private var controlled: List<ControlledDomain> = emptyList()
    private var lastSuspects: Set<GroupKey> = emptySet()
    private val brokenUntil = HashMap<GroupKey, Long>()

    /** Read on traffic threads. */
    @Volatile
    var freshness = CredentialFreshness()
        private set

    @Volatile
    private var isLeaving = false

    /** Called on the control thread when all peers must know at once: groups have broken, or this daemon leaves. */
    var onChange: () -> Unit = {}

    /** Called on the control thread with daemons that must know soon what stands still here. */
    var onSuspicion: (Set<DaemonId>) -> Unit = {}

    private val operators = follower(RegistryPart.OPERATORS, registry)
    private val listed = follower(RegistryPart.TARGETS, registry)
    private val domains =
        settings.failureDomains.associateWith {
            DomainControl(it, settings.daemon, table, thread, lines, clock, listed::refresh)
        }
    private val pause = DecisionPause(clock.steady())
    private var storeAnsweredAt = clock.steady()
    private var currency = RegistryCurrency()

    /** Whether this daemon can serve: it knows targets, and a configuration recent enough to accept keys by it. */
    val isReady: Boolean
        get() =
            !isLeaving && listed.hasRead && knowledge.catalog != null &&
                freshness.isFresh(clock.reading(), keyBound())

    /** How old the knowledge of keys may be, in milliseconds. */
    fun keyBound(): Long = settings.bounds.revocationMilliseconds - KEY_MARGIN_MILLISECONDS

    /** The version of the configuration in force, or null. */
    val configurationVersion: Long? get() = knowledge.catalog?.configuration?.version

    /** Starts following the registry and ticking. */
    fun start() {
        operators.start()
        listed.start()
        thread.every(TICK, ::tick)
    }

    /** Gives up control and tells peers so. */
    fun leave() {
        isLeaving = true
        onChange()
    }

    /** A peer's message has arrived; gives whether it begins a run that wasn't heard of before. */
    fun heard(message: PeerMessage): Boolean {
        val before = board.peers[message.daemon]?.message
        board = board.withMessage(message, clock.steady())
        message.suspects.forEach(::suspect)
        message.leaving.forEach { knowledge.leaves(it, message.daemon.value) }
        val isNew = before == null || before.startedAt != message.startedAt
        if (isNew) lines.record("peer-heard", "peer" to message.daemon, "failureDomain" to message.failureDomain)
        if (before?.controlled != message.controlled) publish()
        return isNew
    }

    /** What this daemon tells peers in its own failure domain, or in others, now. */
    fun message(
        isInside: Boolean,
        withGroups: Boolean,
        sequence: Long,
        startedAt: Long,
        strikes: List<Strike>,
    ): PeerMessage {
        val word = OwnStatus(ownState, board, controlled, settings.failureDomains.size, clock.steady())
        return PeerMessage(
            daemon = settings.daemon,
            failureDomain = settings.failureDomain,
            endpoint = settings.peers,
            startedAt = startedAt,
            sequence = sequence,
            storeAge = storeAge(),
            isLeaving = isLeaving,
            period = word.period(isInside),
            inFlight = word.inFlight(isInside, traffic.inFlight()),
            demand = word.demand(isInside, traffic.demand()),
            suspects = traffic.suspects(),
            strikes = strikes,
            leaving = traffic.leaving().take(LEAVING_TOLD_AT_MOST).toSet(),
            controlled = word.controlledDomains(withGroups),
        )
    }

    /** Grows with each change of the groups that this daemon controls. */
    var groupsVersion = 0L
        private set

    private val ownState: OwnState
        get() = OwnState(settings.daemon, settings.failureDomain, storeAge(), isLeaving)

    private val pauseForTargets: Duration
        get() {
            val drain = Duration.ofMillis(settings.bounds.drainMilliseconds)
            return RegistryPace.pause(domains.values.any { it.isHeld }, board.budgetDaemons(clock.steady()), drain)
        }

    private fun follower(
        part: RegistryPart,
        registry: Registry,
    ) = RegistryFollower(
        part,
        registry,
        thread,
        clock,
        lines,
        !settings.isFirstStart,
        ::changed,
        ::storeAnswered,
    ) { if (part == RegistryPart.TARGETS) pauseForTargets else RegistryPace.SHORTEST }

    private fun changed(
        records: List<RegistryRecord>,
        read: RegistryRead,
    ) {
        knowledge.apply(records, read)
        if (read == RegistryRead.WHOLE_AFTER_OUTAGE) {
            currency = currency.copy(backAt = clock.steady(), lostAt = listed.lostAt ?: currency.lostAt)
        }
        publish()
    }

    private fun storeAnswered(
        part: RegistryPart,
        sentAt: ClockReading,
    ) {
        val now = clock.steady()
        if (storeAge() > OUTAGE_MILLISECONDS) pause.storeRegained(now)
        storeAnsweredAt = now
        if (part == RegistryPart.TARGETS) {
            currency = currency.copy(knownAt = maxOf(currency.knownAt, sentAt.steadyMilliseconds))
        }
        if (part == RegistryPart.OPERATORS) freshness = freshness.confirmed(sentAt)
    }

    private fun storeAge(): Long = clock.steady() - storeAnsweredAt

    private fun tick() {
        val now = clock.steady()
        delay.began(pause.lastTickAt + TICK.toMillis(), now)
        pause.ticked(now)
        knowledge.expire(now)
        traffic.leaving().forEach { knowledge.leaves(it, settings.daemon.value) }
        suspectStanding(now)
        domains.values.forEach { domain -> tick(domain, now) }
        publish()
    }

    private fun tick(
        domain: DomainControl,
        now: Long,
    ) {
        if (!pause.isOver(now)) return
        val isWanted = board.selectController(domain.failureDomain, ownState, domain.term, now) == settings.daemon
        domain.elect(isWanted, board.highestClaimedTerm(domain.failureDomain, now))
        advance(domain)
    }

    /** What another daemon did while it had control must be known before anything is decided. */
    private fun advance(domain: DomainControl) {
        if (!domain.isHeld || !isKnown(domain) || !pause.isOver(clock.steady())) return
        val view = view(domain.failureDomain) ?: return
        carryOut(domain, domain.apply(GroupEvent.Tick(view)))
    }

    private fun isKnown(domain: DomainControl): Boolean = currency.allows(domain.takenAt)

    private fun view(failureDomain: FailureDomainId): DomainView? {
        val service =
            knowledge.catalog
                ?.configuration
                ?.services
                ?.firstOrNull { it.engine != null } ?: return null
        index = index.updatedFor(knowledge.directory)
        val share = index.targetFraction(service.name, failureDomain)
        return DomainView(
            failureDomain,
            index.entries(service.name, failureDomain),
            index.removedEntries(service.name, failureDomain),
            service.engine!!,
            settings.failureDomains.size,
            traffic.hasTraffic(),
            board.slotDemand(traffic.demand(), clock.steady()).mapValues { (_, places) -> places * share },
        )
    }

    private fun suspectStanding(now: Long) {
        val suspects = traffic.suspects()
        suspects.forEach(::suspect)
        val isNew = (suspects - lastSuspects).isNotEmpty()
        lastSuspects = suspects
        if (isNew) onSuspicion(board.controllers(now))
    }

    private fun suspect(key: GroupKey) {
        if (!pause.isOver(clock.steady())) return
        domains.values.filter { it.isHeld }.forEach { domain ->
            val view = view(domain.failureDomain) ?: return@forEach
            carryOut(domain, domain.apply(GroupEvent.GroupSuspected(key, view)))
        }
    }

    private fun carryOut(
        domain: DomainControl,
        decisions: List<GroupDecision>,
    ) = work.carryOut(domain, decisions)

    /** A target has answered what the controller of [term] sent it, or not. */
    private fun answered(
        domain: DomainControl,
        term: Long,
        target: TargetEntry,
        event: GroupEvent,
    ) {
        val report = ((event as? GroupEvent.ReportAnswered)?.result as? ReportResult.Answered)?.report
        if (report?.isLeaving == true) knowledge.leaves(target.instance, settings.daemon.value)
        if (domain.term != term) return
        carryOut(domain, domain.apply(event))
        advance(domain)
        if (event is GroupEvent.ReportAnswered) publish()
    }

    private fun ownDomains(): List<ControlledDomain> = domains.values.filter { it.isHeld }.mapNotNull { domain ->
        view(domain.failureDomain)?.let { domain.announced(it, isKnown(domain)) }
    }

    private fun publish() {
        val now = clock.steady()
        val own = ownDomains()
        val announced = board.announcedDomains(now) + own.associateBy { it.failureDomain }
        announced.values.flatMap { it.broken }.forEach { brokenUntil[it] = now + BROKEN_MILLISECONDS }
        brokenUntil.values.removeIf { it < now }
        val groups = settings.failureDomains.flatMap { domain -> routable(domain, announced[domain]) }
        traffic.publish(
            TrafficView(
                catalog = knowledge.catalog,
                groups = groups.filter { it.key !in brokenUntil },
                broken = brokenUntil.keys.toSet(),
                plainTargets = index.updatedFor(knowledge.directory).plainTargets,
                evacuated = knowledge.evacuated,
                sharers = board.budgetDaemons(now),
            ),
        )
        told(own)
    }

    /** Groups that have broken concern streams under way, so peers hear of them before the next heartbeat. */
    private fun told(own: List<ControlledDomain>) {
        if (controlled == own) return
        val brokenBefore = controlled.flatMap { it.broken }.toSet()
        controlled = own
        groupsVersion += 1
        if (own.any { domain -> (domain.broken - brokenBefore).isNotEmpty() }) onChange()
    }

    private fun routable(
        failureDomain: FailureDomainId,
        announced: ControlledDomain?,
    ): List<RoutableGroup> {
        val groups = announced?.groups ?: listedGroups(failureDomain)
        return groups.mapNotNull { group ->
            val head = knowledge.directory.entries[group.members.first()] ?: return@mapNotNull null
            if (head.isLeaving) null else RoutableGroup(group.key, group.model, head)
        }
    }

    /** Without a controller's word the registry's own picture counts. */
    private fun listedGroups(failureDomain: FailureDomainId): List<AnnouncedGroup> {
        val view = view(failureDomain) ?: return emptyList()
        return ServingGroups
            .complete(view.entries.values, view.engine)
            .map { group -> AnnouncedGroup(group.key, group.model, group.members.map { it.id }) }
    }

    private companion object {
        val TICK: Duration = Duration.ofMillis(50)

        /** Bounds the size of a datagram; the registry tells of the others. */
        const val LEAVING_TOLD_AT_MOST = 50

        /** The store has been away if it gave no answer for longer than a call that waits for changes takes. */
        const val OUTAGE_MILLISECONDS = 1_500L

        /** How long a broken group is remembered; its name is never used again. */
        const val BROKEN_MILLISECONDS = 5_000L

        /** For requests on their way while the bound runs out. */
        const val KEY_MARGIN_MILLISECONDS = 700L
    }
}
