/*
 * All decisions of one daemon.
 *
 * The parts don't know each other; this class passes news from one to the next: reports to the groups, the
 * configuration to all, groups that serve to the router. It is free of I/O, clocks and threads. The daemon's control
 * thread calls it, and scenarios drive the same class on virtual time.
 */
package org.vanillalink.control

import org.vanillalink.configuration.ConfigurationDocument
import org.vanillalink.configuration.ReplicaEvent
import org.vanillalink.configuration.ReplicaState
import org.vanillalink.configuration.RevisionSource
import org.vanillalink.control.admission.AdmissionComponent
import org.vanillalink.control.admission.AdmissionTargets
import org.vanillalink.control.admission.CandidateUnits
import org.vanillalink.dispatch.poison.PoisonEvent
import org.vanillalink.dispatch.poison.PoisonState
import org.vanillalink.dispatch.record.DispatchState
import org.vanillalink.groups.ControlEvent
import org.vanillalink.groups.ControllerEvent
import org.vanillalink.groups.DomainState
import org.vanillalink.groups.GroupSettings
import org.vanillalink.groups.ReceivedReport
import org.vanillalink.groups.ServingState
import org.vanillalink.membership.DaemonIdentity
import org.vanillalink.membership.LocalState
import org.vanillalink.membership.MembershipEvent
import org.vanillalink.membership.MembershipState
import org.vanillalink.membership.ReportDelta
import org.vanillalink.membership.ServiceAggregate
import org.vanillalink.model.DaemonId
import org.vanillalink.model.Endpoint
import org.vanillalink.model.Host
import org.vanillalink.model.HostId
import org.vanillalink.model.ServiceName
import org.vanillalink.routing.RouterDecision
import org.vanillalink.routing.RouterEvent
import org.vanillalink.routing.RouterSettings
import org.vanillalink.routing.RouterState
import java.time.Duration
import java.time.Instant

/** The decisions of the daemon [identity]; confined to the thread that calls [handle]. */
class DaemonControl(
    private val identity: DaemonIdentity,
    seeds: List<Endpoint>,
    startedAt: Instant,
    groupSettings: GroupSettings = GroupSettings(),
) {
    private val configurationComponent = ConfigurationComponent(startedAt)
    private val groups = GroupsComponent(identity, groupSettings)
    private val admission = AdmissionComponent(identity)
    private val calls: CallsComponent = CallsComponent(identity, ::routerUpdates, ::admitAttempt)
    private val candidateUnits = CandidateUnits(admission) { calls.routerState }
    private val paths = PathHealthComponent()
    private val peers = PeersComponent(identity, seeds, startedAt)
    private val loadingGroups = LoadingGroupForecast(identity.failureDomain)
    private val capacityForecast = CapacityForecast()
    private val candidateSelector = CandidateSelector(identity.failureDomain)
    private var hosts: Map<HostId, Host> = emptyMap()
    private var nextServicesAt = startedAt

    /** What is known of the failure domain's control. */
    val domainState: DomainState get() = groups.domainState

    /** What is known of groups and reports. */
    val servingState: ServingState get() = groups.servingState

    /** What is known of the configuration. */
    val replicaState: ReplicaState get() = configurationComponent.replicaState

    /** What is known of other daemons. */
    val membershipState: MembershipState get() = peers.state

    /** What is known of calls with idempotency keys. */
    val dispatchState: DispatchState get() = calls.dispatchState

    /** What is known of requests that crash their targets. */
    val poisonState: PoisonState get() = calls.poisonState

    /** What is known of requests. */
    val routerState: RouterState get() = calls.routerState

    /** The configuration in force. */
    val configuration: ConfigurationDocument get() = configurationComponent.document

    /** The hosts that the platform listed. */
    val listedHosts: Collection<Host> get() = hosts.values

    /** Whether callers can be served: a configuration is in force. */
    val isReady: Boolean get() = replicaState.revision != null

    /** Where the target of [host] listens, or null for a host that isn't listed. */
    fun targetEndpoint(host: HostId): Endpoint? = hosts[host]?.endpoint

    /** Where the peer [daemon] takes messages of daemons, or null for one that was never heard of. */
    fun peerEndpoint(daemon: DaemonId): Endpoint? = membershipState.peers[daemon]
        ?.identity
        ?.endpoints
        ?.peers

    /** Applies [event] and gives what has to be done, in order. */
    fun handle(
        event: DaemonEvent,
        now: Instant,
    ): List<DaemonDecision> {
        val step = ProcessingStep(now)
        apply(event, step)
        while (true) deliver(step.nextEvent() ?: return step.decisions, step)
    }

    private fun apply(
        event: DaemonEvent,
        step: ProcessingStep,
    ) {
        when (event) {
            DaemonEvent.Tick -> tick(step)
            is DaemonEvent.HostsListed -> hostsListed(event.hosts, step)
            is DaemonEvent.ReportReceived -> peers.reportFetched(event.received, step)
            is DaemonEvent.ReportsShared -> reportsShared(event.delta, step)
            is DaemonEvent.ReportsAcknowledged -> peers.reportsAcknowledged(event.peer, event.change)
            is DaemonEvent.ForMembership -> peers.handle(event.event, step)
            is DaemonEvent.ForDomain -> groups.handle(event.event, step)
            is DaemonEvent.ForReplica -> configurationComponent.handle(event.event, step)
            is DaemonEvent.ForEditor -> configurationComponent.handle(event.event, step)
            is DaemonEvent.ForRouter -> calls.handle(event.event, step)
            is DaemonEvent.ModelCallArrived -> calls.modelCallArrived(event, step)
            is DaemonEvent.ForPath -> paths.handle(event.event, step)
            is DaemonEvent.ForPoison -> calls.handle(event.event, step)
            is DaemonEvent.KeyedCallArrived -> calls.keyedCallArrived(event, step)
            is DaemonEvent.KeyedCallAnswered -> calls.keyedCallAnswered(event, step)
            is DaemonEvent.ForDispatch -> calls.handle(event.event, step)
            DaemonEvent.DrainingStarted -> peers.handle(MembershipEvent.LeavingStarted, step)
            is DaemonEvent.AttemptClosed -> attemptClosed(event, step)
            is DaemonEvent.ForAdmission -> admission.handle(event.input, step)
            DaemonEvent.ShuttingDown -> shutDown(step)
        }
    }

    private fun deliver(
        event: LocalEvent,
        step: ProcessingStep,
    ) {
        when (event) {
            is LocalEvent.ConfigurationInForce -> applyConfiguration(event, step)
            is LocalEvent.LocalStateChanged -> localStateChanged(event, step)
            is LocalEvent.ControlGained -> peers.handle(fencingNumberObserved(event), step)
            is LocalEvent.FencingNumberReceived -> groups.handle(ControlEvent.FencingNumberSeen(event.number), step)
            is LocalEvent.ForReplica -> configurationComponent.handle(event.event, step)
            is LocalEvent.HostsListed -> groups.handle(ControllerEvent.HostsListed(event.hosts.values.toList()), step)
            is LocalEvent.ReportUpdated -> reportUpdated(event, step)
            LocalEvent.UnitsChanged -> calls.refresh(step)
            is LocalEvent.StrikeAdded -> peers.handle(MembershipEvent.StrikeRecorded(StrikeText.of(event.strike)), step)
            is LocalEvent.StrikeReceived -> calls.handle(PoisonEvent.StrikesReceived(setOf(event.strike)), step)
            is LocalEvent.ActiveDaemonsChanged -> calls.handle(PoisonEvent.ActiveDaemonsChanged(event.daemons), step)
            is LocalEvent.MemberLost -> calls.handle(PoisonEvent.TargetLost(event.loss, event.ranAt), step)
            LocalEvent.ServingChanged -> refreshCandidates(step)
            is LocalEvent.ForRouter -> calls.handle(event.event, step)
            is LocalEvent.ServicesAggregated -> peers.handle(servicesAggregated(event), step)
        }
    }

    private fun reportsShared(
        delta: ReportDelta,
        step: ProcessingStep,
    ) {
        groups.generationsEnded(delta.endedGenerations, step)
        peers.reportsShared(delta, step)
    }

    private fun tick(step: ProcessingStep) {
        peers.handle(MembershipEvent.Tick, step)
        configurationComponent.handle(ReplicaEvent.Tick, step)
        groups.tick(step)
        updateAdmissionControl(step)
        admission.tick(step)
        refreshCandidates(step)
        calls.tick(step)
        candidateUnits
            .demandEvents(
                configuration.services.keys,
                membershipState.activeDaemons.size,
                step,
            ).forEach { calls.handle(capacityForecast.combine(ForecastSource.COLD_TARGETS, it), step) }
        paths.tick(step)
        publishServices(step)
        peers.exchangeReports(hosts.values, servingState.endedGenerations, step)
    }

    private fun hostsListed(
        listed: List<Host>,
        step: ProcessingStep,
    ) {
        val fencingTargets = configuration.targets.checkingFencing
        hosts =
            listed.map { it.copy(checksFencing = it.checksFencing || it.id in fencingTargets) }.associateBy { it.id }
        step.publish(LocalEvent.HostsListed(hosts))
        step.publish(LocalEvent.ServingChanged)
    }

    private fun applyConfiguration(
        event: LocalEvent.ConfigurationInForce,
        step: ProcessingStep,
    ) {
        val document = event.document
        calls.handle(RouterEvent.SettingsChanged(RouterSettings.from(document)), step)
        document.failureDomains.forEach { (domain, settings) ->
            calls.handle(RouterEvent.FailureDomainStateChanged(domain, settings.state), step)
        }
        admission.applyConfiguration(document)
        groups.applyConfiguration(document, step)
        refreshCandidates(step)
        step.publish(LocalEvent.LocalStateChanged(urgent = event.source == RevisionSource.PLATFORM))
    }

    private fun refreshCandidates(step: ProcessingStep) {
        val targets = AdmissionTargets.select(configuration, hosts, servingState, identity.failureDomain)
        admission.updateTargets(targets, { it in hosts }, groups::latestReport, step)
        configuration.services.keys.forEach { service ->
            calls.refresh(step)
            val candidates = candidateSelector.select(service, configuration, hosts, servingState, step.now)
            val reachableCandidates = candidates.filterNot { paths.isSuspected(it.host) }
            calls.handle(
                RouterEvent.CandidatesChanged(service, candidateUnits.withUnits(service, reachableCandidates)),
                step,
            )
        }
    }

    /** What the router has to know of units before [event]: its choices must not go beyond them. */
    private fun routerUpdates(
        event: RouterEvent?,
        step: ProcessingStep,
    ): List<RouterEvent> = candidateUnits.routerUpdates(event, step)

    private fun attemptClosed(
        event: DaemonEvent.AttemptClosed,
        step: ProcessingStep,
    ) {
        admission.attemptClosed(event.request, event.attempt, step)
        calls.refresh(step)
    }

    private fun reportUpdated(
        event: LocalEvent.ReportUpdated,
        step: ProcessingStep,
    ) {
        admission.reportUpdated(event.received.report, step)
        groups.reportUpdated(event.received, step)
        calls.reportUpdated(event.received, step)
        paths.reportUpdated(event.received, step)
        calls.refresh(step)
    }

    private fun localStateChanged(
        event: LocalEvent.LocalStateChanged,
        step: ProcessingStep,
    ) {
        updateAdmissionControl(step)
        peers.localStateChanged(localState(), event.urgent, step)
    }

    private fun updateAdmissionControl(step: ProcessingStep) {
        val heldNumber = domainState.heldFencingNumber
        admission.updateControl(peers.domainController(heldNumber), heldNumber, step)
    }

    private fun shutDown(step: ProcessingStep) {
        admission.end(step)
        groups.handle(ControlEvent.ShuttingDown, step)
    }

    /** The holder of control speaks for the failure domain; every daemon takes note of what others offer. */
    private fun publishServices(step: ProcessingStep) {
        if (step.now < nextServicesAt) return
        nextServicesAt = step.now.plus(SERVICES_INTERVAL)
        loadingGroups.capacityEvents(servingState, configuration, step.now).forEach {
            calls.handle(capacityForecast.combine(ForecastSource.REPAIRS, it), step)
        }
        domainState.heldFencingNumber?.let { step.publish(LocalEvent.ServicesAggregated(countServices(), it)) }
        peers.publishRemoteCapacities(configuration.failureDomains.keys - identity.failureDomain, step)
    }

    private fun countServices(): Map<ServiceName, ServiceAggregate> =
        configuration.services.keys.associateWith { service ->
            ServiceAggregate(
                servingGroups = servingState.servingGroups(service).size,
                freeRequests = routerState.freeRequests(service),
                queuedRequests = routerState.queueLength(service),
            )
        }

    private fun admitAttempt(
        decision: RouterDecision.StartAttempt,
        step: ProcessingStep,
    ): AttemptTarget? {
        val host = hosts[decision.host] ?: return null
        val admitted =
            admission.admit(decision.request, decision.attempt, host.id, decision.boot, step) ?: return null
        val group = groups.servingGroupAt(host.id)
        return AttemptTarget(
            host = host.id,
            endpoint = host.endpoint,
            boot = admitted.boot,
            group = group?.group,
            generation = group?.generation,
            fencingNumber = admitted.fencingNumber,
        )
    }

    private fun localState() =
        LocalState(replicaState.revision, replicaState.confirmedAt, domainState.heldFencingNumber)

    private fun fencingNumberObserved(event: LocalEvent.ControlGained) =
        MembershipEvent.FencingNumberObserved(identity.failureDomain, event.fencingNumber)

    private fun servicesAggregated(event: LocalEvent.ServicesAggregated) =
        MembershipEvent.ServicesAggregated(event.services, event.fencingNumber)

    private companion object {
        val SERVICES_INTERVAL: Duration = Duration.ofMillis(500)
    }
}
