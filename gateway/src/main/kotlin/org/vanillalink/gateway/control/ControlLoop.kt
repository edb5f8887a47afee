/*
 * Control state, confined to the control thread: the target directory, the configuration, peers, and the groups of the
 * failure domains that this daemon controls. All events are delivered to that thread; it publishes an immutable view
 * for the traffic threads.
 */
package org.vanillalink.gateway.control

import org.vanillalink.gateway.logs.EventLogger
import org.vanillalink.gateway.logs.GroupControlMetrics
import org.vanillalink.gateway.logs.LoopDelayMonitor
import org.vanillalink.gateway.peers.PeerMessageParts
import org.vanillalink.gateway.ports.GatewaySettings
import org.vanillalink.gateway.ports.Registry
import org.vanillalink.gateway.ports.RegistryPart
import org.vanillalink.gateway.ports.RegistryRecord
import org.vanillalink.gateway.ports.RegistryRelay
import org.vanillalink.gateway.ports.RelayedAge
import org.vanillalink.gateway.ports.TargetControl
import org.vanillalink.gateway.traffic.RoutableGroup
import org.vanillalink.gateway.traffic.TrafficView
import org.vanillalink.model.DaemonId
import org.vanillalink.model.FailureDomainId
import org.vanillalink.serving.catalog.ClockReading
import org.vanillalink.serving.control.AnnouncedGroup
import org.vanillalink.serving.control.DomainView
import org.vanillalink.serving.control.GroupDecision
import org.vanillalink.serving.control.GroupEvent
import org.vanillalink.serving.control.ReportResult
import org.vanillalink.serving.peers.ControlledDomain
import org.vanillalink.serving.peers.HeartbeatPath
import org.vanillalink.serving.peers.OwnState
import org.vanillalink.serving.peers.OwnStatus
import org.vanillalink.serving.peers.PeerDirectory
import org.vanillalink.serving.peers.PeerMessage
import org.vanillalink.serving.peers.ReportedDemand
import org.vanillalink.serving.targets.GroupKey
import org.vanillalink.serving.targets.ServingGroups
import org.vanillalink.serving.targets.TargetEntry
import org.vanillalink.serving.targets.TargetIndex
import org.vanillalink.store.TableStore
import java.time.Duration

/** Confined to the control thread, except for members marked otherwise. */
class ControlLoop internal constructor(
    private val settings: GatewaySettings,
    private val controlThread: ControlThread,
    registry: Registry,
    table: TableStore,
    targets: TargetControl,
    private val traffic: TrafficSummary,
    private val eventLogger: EventLogger,
    private val clock: GatewayClock,
    private val loopDelayMonitor: LoopDelayMonitor,
    groupControlMetrics: GroupControlMetrics,
    relay: RegistryRelay? = null,
) {
    private val registryState = RegistryState(eventLogger, clock, settings.limits.relistMilliseconds)

    /** Read on the control thread only. */
    var peerDirectory = PeerDirectory()
        private set
    private val decisionExecutor =
        DecisionExecutor(
            targets,
            controlThread,
            eventLogger,
            groupControlMetrics,
            ::recentLoopDelay,
            ::onTargetResponse,
        )
    private var targetIndex = TargetIndex(registryState.directory)
    private var controlledDomains: List<ControlledDomain> = emptyList()
    private var modelsByDomain: Map<FailureDomainId, Set<String>> = emptyMap()
    private var previousSuspects: Set<GroupKey> = emptySet()
    private var previousProgressVersion = 0L
    private val brokenGroupsUntil = HashMap<GroupKey, Long>()

    private val configurationMonitor = ConfigurationMonitor(settings.limits, eventLogger, clock)

    /** Whether keys and routes may be judged by the configuration. Safe to call from any thread. */
    val isConfigurationFresh: Boolean get() = configurationMonitor.isFresh

    /** Milliseconds since the configuration was last confirmed, or null. Safe to call from any thread. */
    val configurationAge: Long? get() = configurationMonitor.age

    @Volatile
    private var isLeaving = false

    /** Called on the control thread when all peers need a message at once: groups broke, or this daemon leaves. */
    var onUrgentChange: () -> Unit = {}

    /** Called on the control thread when the store has come back from an older copy. */
    var onRestored: () -> Unit = {}

    /** Called on the control thread with the daemons that need to be sent soon which groups are stalled or stand. */
    var onNewSuspects: (Set<DaemonId>) -> Unit = {}

    /** Where this daemon reads the registry. */
    internal val registrySource =
        RegistrySource(settings, registry, relay, RegistryInputs(), controlThread, eventLogger, clock)
    private val operatorsFollower = createFollower(RegistryPart.OPERATORS)
    private val targetsFollower = createFollower(RegistryPart.TARGETS)
    private val domainControls =
        settings.failureDomains.associateWith {
            DomainControl(it, settings.daemon, table, controlThread, eventLogger, clock, targetsFollower::refresh)
        }
    private val decisionHoldOff = DecisionHoldOff(clock.steady())
    private var lastStoreResponseAt = clock.steady()
    private var registryFreshness = RegistryFreshness()
    private var restoredEra: Long? = null

    /** How often the store has come back from an older copy since this daemon started. Safe to read from any thread. */
    @Volatile
    var restorations = 0
        private set

    /** Whether this daemon can serve: it has read the targets and a configuration recent enough to accept keys. */
    val isReady: Boolean
        get() =
            !isLeaving && targetsFollower.hasLoaded && registryState.catalog != null && isConfigurationFresh

    /** Whether this daemon has control of any failure domain. */
    val hasControl: Boolean get() = domainControls.values.any { it.isHeld }

    /** The version of the configuration in force, or null before the first is read. */
    val configurationVersion: Long? get() = registryState.catalog?.configuration?.version

    /** Starts to follow the registry and to tick. */
    fun start() {
        operatorsFollower.start()
        targetsFollower.start()
        controlThread.scheduleRepeatedly(TICK_INTERVAL, ::tick)
    }

    /** Announces to peers that this daemon leaves, so that another one takes control. */
    fun startLeaving() {
        isLeaving = true
        onUrgentChange()
    }

    /** Applies a peer's message; returns whether it is the first from this instance of the peer's process. */
    fun onPeerMessage(message: PeerMessage): Boolean {
        val previous = peerDirectory.peers[message.daemon]?.message
        peerDirectory = peerDirectory.withMessage(message, clock.steady())
        configurationMonitor.recordAnnounced(message.configurationVersion)
        message.suspects.forEach(::reportSuspect)
        message.leaving.forEach { registryState.recordLeaving(it, message.daemon.value) }
        val isNew = previous == null || previous.startedAt != message.startedAt
        if (isNew) eventLogger.record("peer-heard", "peer" to message.daemon, "failureDomain" to message.failureDomain)
        if (previous?.controlled != message.controlled) publish()
        return isNew
    }

    /** This daemon's status to send now. */
    internal val ownStatus: OwnStatus
        get() = OwnStatus(ownState, peerDirectory, controlledDomains, settings.failureDomains.size, clock.steady())

    /** Builds the current message with [status] and the sequence number and parts in [parts] to peers on [path]. */
    internal fun buildPeerMessage(
        status: OwnStatus,
        path: HeartbeatPath,
        parts: PeerMessageParts,
    ): PeerMessage {
        val isSameDomain = path.isWithinDomain
        return PeerMessage(
            daemon = settings.daemon,
            failureDomain = settings.failureDomain,
            endpoint = settings.peerEndpoint,
            startedAt = parts.startedAt,
            sequence = parts.sequence,
            storeAge = storeAge(),
            isLeaving = isLeaving,
            period = status.period(path),
            inFlight = status.inFlight(isSameDomain, traffic.inFlight()),
            demand = status.demand(isSameDomain, traffic.demand()),
            suspects = traffic.suspects(),
            progress = traffic.progress(includesHeard = !isSameDomain && hasControl),
            poison = parts.poison,
            leaving = status.leaving(isSameDomain, traffic.leavingTargets()),
            controlled = status.controlledDomains(parts.includesGroups),
            configurationVersion = configurationVersion ?: 0,
            limits = if (parts.includesLimits) status.limits(isSameDomain, traffic.limits()) else emptyList(),
            canRelay = true,
            isForDomain = path == HeartbeatPath.TO_REPRESENTATIVE,
            members = if (parts.includesMembers) status.members() else emptyList(),
            unheard = if (isSameDomain) emptySet() else parts.unheard,
        )
    }

    /** Incremented with each change of the groups that this daemon controls. */
    var groupsVersion = 0L
        private set

    private val ownState: OwnState
        get() = OwnState(settings.daemon, settings.failureDomain, storeAge(), isLeaving)

    private inner class RegistryInputs : RegistrySourceInputs {
        override val peerDirectory get() = this@ControlLoop.peerDirectory
        override val ownState get() = this@ControlLoop.ownState
        override val hasControl get() = this@ControlLoop.hasControl
        override val ownTerm get() = domainControls[settings.failureDomain]?.term ?: 0
    }

    private fun createFollower(part: RegistryPart) = RegistryFollower(
        part,
        registrySource.registry,
        controlThread,
        clock,
        eventLogger,
        !settings.isFirstStart,
        { records, readKind -> applyRecords(part, records, readKind) },
        ::onStoreResponse,
        ::onStoreRestored,
        { registrySource.pollInterval(part) },
        { registrySource.maxChangeWait(part) },
    )

    /** Both parts notice the same restoration, one after the other. */
    private fun onStoreRestored(restoration: StoreRestoration) {
        if (restoration.era == restoredEra) return
        restoredEra = restoration.era
        restorations += 1
        val now = clock.steady()
        val heldTerms = domainControls.values.filter { it.isHeld }.map { "${it.failureDomain}:${it.term}" }
        registryState.onStoreRestored()
        registryFreshness = registryFreshness.copy(storeRegainedAt = now)
        if (storeAge() < STORE_OUTAGE_THRESHOLD_MILLISECONDS) {
            registryFreshness = registryFreshness.copy(storeLostAt = now)
        }
        eventLogger.record(
            "store-restored",
            "part" to restoration.part,
            "era" to restoration.era,
            "previousEra" to restoration.previousEra,
            "version" to restoration.version,
            "previousVersion" to restoration.previousVersion,
            "configuration" to configurationVersion,
            "evacuated" to registryState.evacuated.joinToString(","),
            "targetsKept" to registryState.directory.entries.size,
            "terms" to heldTerms.joinToString(","),
        )
        domainControls.values.forEach { it.onStoreRestored() }
        onRestored()
        controlThread.scheduleOnce(Duration.ofMillis(settings.limits.relistMilliseconds), targetsFollower::refresh)
        controlThread.scheduleOnce(LostConfiguration.REWRITE_TIME, operatorsFollower::refresh)
    }

    private fun applyRecords(
        part: RegistryPart,
        records: List<RegistryRecord>,
        readKind: RegistryReadKind,
    ) {
        registryState.apply(part, records, readKind)
        if (readKind == RegistryReadKind.FULL_AFTER_OUTAGE) {
            registryFreshness =
                registryFreshness.copy(
                    storeRegainedAt = clock.steady(),
                    storeLostAt = targetsFollower.storeLostAt ?: registryFreshness.storeLostAt,
                )
        }
        publish()
    }

    private fun onStoreResponse(
        part: RegistryPart,
        confirmedAt: ClockReading,
        relayed: RelayedAge?,
    ) {
        val now = clock.steady()
        if (storeAge() > STORE_OUTAGE_THRESHOLD_MILLISECONDS) decisionHoldOff.onStoreRegained(now)
        // A peer that answers isn't the store: what counts is when the store has answered it.
        lastStoreResponseAt = maxOf(lastStoreResponseAt, now - (relayed?.answer ?: 0))
        if (part == RegistryPart.TARGETS && relayed == null) {
            registryFreshness =
                registryFreshness.copy(
                    currentAsOf = maxOf(registryFreshness.currentAsOf, confirmedAt.steadyMilliseconds),
                )
        }
        if (part == RegistryPart.OPERATORS) configurationMonitor.recordConfirmed(configurationVersion, confirmedAt)
    }

    private fun recentLoopDelay(): Long = maxOf(traffic.recentDelay(), loopDelayMonitor.recentMaxMilliseconds)

    private fun storeAge(): Long = clock.steady() - lastStoreResponseAt

    private fun tick() {
        val now = clock.steady()
        loopDelayMonitor.recordStart(decisionHoldOff.lastTickAt + TICK_INTERVAL.toMillis(), now)
        decisionHoldOff.recordTick(now)
        decisionHoldOff.recordTrafficThread(traffic.lastRanAt, now)
        registryState.removeExpired(now)
        traffic.leavingTargets().forEach { registryState.recordLeaving(it, settings.daemon.value) }
        reportSuspects(now)
        domainControls.values.forEach { domain -> tick(domain, now) }
        publish()
    }

    private fun tick(
        domain: DomainControl,
        now: Long,
    ) {
        if (!decisionHoldOff.isOver(now)) return
        val isPreferred =
            peerDirectory.selectController(domain.failureDomain, ownState, domain.term, now) == settings.daemon
        val mayClaim = isPreferred && !domain.isHeld
        val usedEpoch = if (mayClaim) registryState.directory.highestEpoch(domain.failureDomain) else 0
        domain.updateElection(isPreferred, peerDirectory.highestClaimedTerm(domain.failureDomain, now), usedEpoch)
        advanceController(domain)
    }

    /** Decides only once the registry shows what another daemon did while it had control. */
    private fun advanceController(domain: DomainControl) {
        if (!domain.isHeld || !hasCurrentView(domain) || !decisionHoldOff.isOver(clock.steady())) return
        val view = buildDomainView(domain.failureDomain) ?: return
        executeDecisions(domain, domain.apply(GroupEvent.Tick(view)))
    }

    private fun hasCurrentView(domain: DomainControl): Boolean = registryFreshness.allowsDecisions(domain.takenAt)

    private fun buildDomainView(failureDomain: FailureDomainId): DomainView? {
        val service =
            registryState.catalog
                ?.configuration
                ?.services
                ?.firstOrNull { it.engine != null } ?: return null
        targetIndex = targetIndex.updatedFor(registryState.directory)
        val share = targetIndex.targetFraction(service.name, failureDomain)
        return DomainView(
            failureDomain,
            targetIndex.entries(service.name, failureDomain),
            targetIndex.removedEntries(service.name, failureDomain),
            service.engine!!,
            settings.failureDomains.size,
            traffic.hasTraffic(),
            peerDirectory.slotDemand(traffic.demand(), clock.steady()).mapValues { (_, slots) -> slots * share },
            registryState.catalog!!.callerPatienceMilliseconds(service.name),
            modelsByDomain
                .filterKeys { it != failureDomain }
                .values
                .flatten()
                .toSet(),
        )
    }

    private fun reportSuspects(now: Long) {
        val suspects = traffic.suspects()
        suspects.forEach(::reportSuspect)
        val hasNewSuspects = (suspects - previousSuspects).isNotEmpty()
        previousSuspects = suspects
        val progressVersion = traffic.progressVersion
        val hasNewProgress = progressVersion != previousProgressVersion
        previousProgressVersion = progressVersion
        if (!hasNewSuspects && !hasNewProgress) return
        val nearbyPeers = if (hasNewProgress) peerDirectory.peersIn(settings.failureDomain, now) else emptyList()
        onNewSuspects(peerDirectory.controllers(now) + nearbyPeers.map { it.daemon })
    }

    private fun reportSuspect(key: GroupKey) {
        if (!decisionHoldOff.isOver(clock.steady())) return
        domainControls.values.filter { it.isHeld }.forEach { domain ->
            val view = buildDomainView(domain.failureDomain) ?: return@forEach
            executeDecisions(domain, domain.apply(GroupEvent.GroupSuspected(key, view)))
        }
    }

    private fun executeDecisions(
        domain: DomainControl,
        decisions: List<GroupDecision>,
    ) = decisionExecutor.execute(domain, decisions)

    /** Applies the outcome of an order or report request that the controller of [term] sent to [target]. */
    private fun onTargetResponse(
        domain: DomainControl,
        term: Long,
        target: TargetEntry,
        event: GroupEvent,
    ) {
        val report = ((event as? GroupEvent.ReportAnswered)?.result as? ReportResult.Answered)?.report
        if (report?.isLeaving == true) registryState.recordLeaving(target.instance, settings.daemon.value)
        if (domain.term != term) return
        executeDecisions(domain, domain.apply(event))
        advanceController(domain)
        if (event is GroupEvent.ReportAnswered) publish()
    }

    private fun collectOwnDomains(): List<ControlledDomain> = domainControls.values
        .filter { it.isHeld }
        .mapNotNull { domain ->
            buildDomainView(domain.failureDomain)?.let { domain.announcement(it, hasCurrentView(domain)) }
        }

    private fun publish() {
        val now = clock.steady()
        val ownDomains = collectOwnDomains()
        val announcedDomains = peerDirectory.announcedDomains(now) + ownDomains.associateBy { it.failureDomain }
        modelsByDomain =
            announcedDomains.mapValues { (_, domain) ->
                domain.groups
                    .orEmpty()
                    .map { it.model }
                    .toSet()
            }
        announcedDomains.values
            .flatMap { it.broken }
            .forEach { brokenGroupsUntil[it] = now + BROKEN_RETENTION_MILLISECONDS }
        brokenGroupsUntil.values.removeIf { it < now }
        val groups = settings.failureDomains.flatMap { domain -> routableGroups(domain, announcedDomains[domain]) }
        traffic.publish(
            TrafficView(
                catalog = registryState.catalog,
                groups = groups.filter { it.key !in brokenGroupsUntil },
                broken = brokenGroupsUntil.keys.toSet(),
                plainTargets = targetIndex.updatedFor(registryState.directory).plainTargets,
                evacuated = registryState.evacuated,
                budgetDaemons = peerDirectory.budgetDaemons(now),
                daemonDemand =
                    ReportedDemand(settings.daemon, settings.failureDomain, traffic.demand(), peerDirectory, now),
                failureDomain = settings.failureDomain,
            ),
        )
        recordOwnDomains(ownDomains)
    }

    /** Groups that break affect streams in progress, so they are sent to peers ahead of the next heartbeat. */
    private fun recordOwnDomains(ownDomains: List<ControlledDomain>) {
        if (controlledDomains == ownDomains) return
        val previouslyBroken = controlledDomains.flatMap { it.broken }.toSet()
        controlledDomains = ownDomains
        groupsVersion += 1
        if (ownDomains.any { domain -> (domain.broken - previouslyBroken).isNotEmpty() }) onUrgentChange()
    }

    private fun routableGroups(
        failureDomain: FailureDomainId,
        announcedDomain: ControlledDomain?,
    ): List<RoutableGroup> {
        val groups = announcedDomain?.groups ?: groupsFromRegistry(failureDomain)
        return groups.mapNotNull { group ->
            val head = registryState.directory.entries[group.members.first()] ?: return@mapNotNull null
            if (head.isLeaving) null else RoutableGroup(group.key, group.model, head)
        }
    }

    /** The groups listed in the registry, used where no controller has announced groups. */
    private fun groupsFromRegistry(failureDomain: FailureDomainId): List<AnnouncedGroup> {
        val view = buildDomainView(failureDomain) ?: return emptyList()
        return ServingGroups
            .complete(view.entries.values, view.engine)
            .map { group -> AnnouncedGroup(group.key, group.model, group.members.map { it.id }) }
    }

    private companion object {
        val TICK_INTERVAL: Duration = Duration.ofMillis(50)

        /** Longer than a long-poll for changes takes, so a store without a response for this long has had an outage. */
        const val STORE_OUTAGE_THRESHOLD_MILLISECONDS = 1_500L

        /** How long a broken group stays excluded; its key is never reused. */
        const val BROKEN_RETENTION_MILLISECONDS = 5_000L
    }
}
