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
import org.vanillalink.control.admission.AdmissionPart
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
    private val configurationPart = ConfigurationPart(startedAt)
    private val groups = GroupsPart(identity, groupSettings)
    private val admission = AdmissionPart(identity)
    private val calls: CallsPart = CallsPart(identity, ::beforeRouting, ::attemptTarget)
    private val units = CandidateUnits(admission) { calls.routerState }
    private val paths = PathPart()
    private val peers = PeersPart(identity, seeds, startedAt)
    private val expectedCapacity = ExpectedCapacity(identity.failureDomain)
    private val outlook = CapacityOutlook()
    private val candidates = CandidateList(identity.failureDomain)
    private var hosts: Map<HostId, Host> = emptyMap()
    private var nextServicesAt = startedAt

    /** What is known of the failure domain's control. */
    val domainState: DomainState get() = groups.domainState

    /** What is known of groups and reports. */
    val servingState: ServingState get() = groups.servingState

    /** What is known of the configuration. */
    val replicaState: ReplicaState get() = configurationPart.replicaState

    /** What is known of other daemons. */
    val membershipState: MembershipState get() = peers.state

    /** What is known of calls with idempotency keys. */
    val dispatchState: DispatchState get() = calls.dispatchState

    /** What is known of requests that crash their targets. */
    val poisonState: PoisonState get() = calls.poisonState

    /** What is known of requests. */
    val routerState: RouterState get() = calls.routerState

    /** The configuration in force. */
    val configuration: ConfigurationDocument get() = configurationPart.document

    /** The hosts that the platform listed. */
    val listedHosts: Collection<Host> get() = hosts.values

    /** Whether callers can be served: a configuration is in force. */
    val isReady: Boolean get() = replicaState.revision != null

    /** Where the target of [host] listens, or null for a host that isn't listed. */
    fun endpointOf(host: HostId): Endpoint? = hosts[host]?.endpoint

    /** Where the peer [daemon] takes messages of daemons, or null for one that was never heard of. */
    fun peerEndpointOf(daemon: DaemonId): Endpoint? = membershipState.peers[daemon]
        ?.identity
        ?.endpoints
        ?.peers

    /** Applies [event] and gives what has to be done, in order. */
    fun handle(
        event: DaemonEvent,
        now: Instant,
    ): List<DaemonDecision> {
        val step = ControlStep(now)
        apply(event, step)
        while (true) pass(step.nextNews() ?: return step.decisions, step)
    }

    private fun apply(
        event: DaemonEvent,
        step: ControlStep,
    ) {
        when (event) {
            DaemonEvent.Tick -> tick(step)
            is DaemonEvent.HostsListed -> hostsListed(event.hosts, step)
            is DaemonEvent.ReportReceived -> peers.reportAnswered(event.received, step)
            is DaemonEvent.ReportsShared -> reportsShared(event.delta, step)
            is DaemonEvent.ReportsAcknowledged -> peers.reportsAcknowledged(event.peer, event.change)
            is DaemonEvent.ForMembership -> peers.handle(event.event, step)
            is DaemonEvent.ForDomain -> groups.handle(event.event, step)
            is DaemonEvent.ForReplica -> configurationPart.handle(event.event, step)
            is DaemonEvent.ForEditor -> configurationPart.handle(event.event, step)
            is DaemonEvent.ForRouter -> calls.handle(event.event, step)
            is DaemonEvent.ModelCallArrived -> calls.modelCallArrived(event, step)
            is DaemonEvent.ForPath -> paths.handle(event.event, step)
            is DaemonEvent.ForPoison -> calls.handle(event.event, step)
            is DaemonEvent.KeyedCallArrived -> calls.keyedCallArrived(event, step)
            is DaemonEvent.KeyedCallAnswered -> calls.keyedCallAnswered(event, step)
            is DaemonEvent.ForDispatch -> calls.handle(event.event, step)
            DaemonEvent.DrainingStarted -> peers.handle(MembershipEvent.LeavingStarted, step)
            is DaemonEvent.AttemptClosed -> attemptClosed(event, step)
            is DaemonEvent.ForAdmission -> admission.handle(event.news, step)
            DaemonEvent.ShuttingDown -> shutDown(step)
        }
    }

    private fun pass(
        news: PartNews,
        step: ControlStep,
    ) {
        when (news) {
            is PartNews.ConfigurationInForce -> configurationInForce(news, step)
            is PartNews.LocalStateChanged -> localStateChanged(news, step)
            is PartNews.ControlGained -> peers.handle(fencingNumberSeen(news), step)
            is PartNews.FencingNumberHeard -> groups.handle(ControlEvent.FencingNumberSeen(news.fencingNumber), step)
            is PartNews.ForReplica -> configurationPart.handle(news.event, step)
            is PartNews.HostsListed -> groups.handle(ControllerEvent.HostsListed(news.hosts.values.toList()), step)
            is PartNews.ReportKnown -> reportKnown(news, step)
            PartNews.UnitsChanged -> calls.refresh(step)
            is PartNews.StrikeMade -> peers.handle(MembershipEvent.StrikeRecorded(StrikeText.of(news.strike)), step)
            is PartNews.StrikeHeard -> calls.handle(PoisonEvent.StrikesReceived(setOf(news.strike)), step)
            is PartNews.DaemonsHeard -> calls.handle(PoisonEvent.ActiveDaemonsChanged(news.daemons), step)
            is PartNews.MemberLost -> calls.handle(PoisonEvent.TargetLost(news.loss, news.ranAt), step)
            PartNews.ServingChanged -> refreshCandidates(step)
            is PartNews.ForRouter -> calls.handle(news.event, step)
            is PartNews.ServicesCounted -> peers.handle(servicesCounted(news), step)
        }
    }

    private fun reportsShared(
        delta: ReportDelta,
        step: ControlStep,
    ) {
        groups.generationsEnded(delta.endedGenerations, step)
        peers.reportsShared(delta, step)
    }

    private fun tick(step: ControlStep) {
        peers.handle(MembershipEvent.Tick, step)
        configurationPart.handle(ReplicaEvent.Tick, step)
        groups.tick(step)
        tellControl(step)
        admission.tick(step)
        refreshCandidates(step)
        calls.tick(step)
        units
            .demand(
                configuration.services.keys,
                membershipState.activeDaemons.size,
                step,
            ).forEach { calls.handle(outlook.join(OutlookSource.COLD_TARGETS, it), step) }
        paths.tick(step)
        exchangeServices(step)
        peers.exchangeReports(hosts.values, servingState.endedGenerations, step)
    }

    private fun hostsListed(
        listed: List<Host>,
        step: ControlStep,
    ) {
        val fencing = configuration.targets.checkingFencing
        hosts = listed.map { it.copy(checksFencing = it.checksFencing || it.id in fencing) }.associateBy { it.id }
        step.tell(PartNews.HostsListed(hosts))
        step.tell(PartNews.ServingChanged)
    }

    private fun configurationInForce(
        news: PartNews.ConfigurationInForce,
        step: ControlStep,
    ) {
        val document = news.document
        calls.handle(RouterEvent.SettingsChanged(RouterSettings.from(document)), step)
        document.failureDomains.forEach { (domain, settings) ->
            calls.handle(RouterEvent.FailureDomainStateChanged(domain, settings.state), step)
        }
        admission.configurationInForce(document)
        groups.configurationInForce(document, step)
        refreshCandidates(step)
        step.tell(PartNews.LocalStateChanged(urgent = news.source == RevisionSource.PLATFORM))
    }

    private fun refreshCandidates(step: ControlStep) {
        val targets = AdmissionTargets.of(configuration, hosts, servingState, identity.failureDomain)
        admission.targetsKnown(targets, { it in hosts }, groups::reportOf, step)
        configuration.services.keys.forEach { service ->
            calls.refresh(step)
            val usable = candidates.of(service, configuration, hosts, servingState, step.now)
            val answering = usable.filterNot { paths.isSuspected(it.host) }
            calls.handle(RouterEvent.CandidatesChanged(service, units.ofAll(service, answering)), step)
        }
    }

    /** What the router has to know of units before [event]: its choices must not go beyond them. */
    private fun beforeRouting(
        event: RouterEvent?,
        step: ControlStep,
    ): List<RouterEvent> = units.before(event, step)

    private fun attemptClosed(
        event: DaemonEvent.AttemptClosed,
        step: ControlStep,
    ) {
        admission.attemptClosed(event.request, event.attempt, step)
        calls.refresh(step)
    }

    private fun reportKnown(
        news: PartNews.ReportKnown,
        step: ControlStep,
    ) {
        admission.reportKnown(news.received.report, step)
        groups.reportKnown(news.received, step)
        calls.reportKnown(news.received, step)
        paths.reportKnown(news.received, step)
        calls.refresh(step)
    }

    private fun localStateChanged(
        news: PartNews.LocalStateChanged,
        step: ControlStep,
    ) {
        tellControl(step)
        peers.localStateChanged(localState(), news.urgent, step)
    }

    private fun tellControl(step: ControlStep) {
        val held = domainState.heldFencingNumber
        admission.controlKnown(peers.domainController(held), held, step)
    }

    private fun shutDown(step: ControlStep) {
        admission.end(step)
        groups.handle(ControlEvent.ShuttingDown, step)
    }

    /** The holder of control speaks for the failure domain; every daemon takes note of what others offer. */
    private fun exchangeServices(step: ControlStep) {
        if (step.now < nextServicesAt) return
        nextServicesAt = step.now.plus(SERVICES_INTERVAL)
        expectedCapacity.events(servingState, configuration, step.now).forEach {
            calls.handle(outlook.join(OutlookSource.REPAIRS, it), step)
        }
        domainState.heldFencingNumber?.let { step.tell(PartNews.ServicesCounted(countServices(), it)) }
        peers.tellRemoteCapacities(configuration.failureDomains.keys - identity.failureDomain, step)
    }

    private fun countServices(): Map<ServiceName, ServiceAggregate> =
        configuration.services.keys.associateWith { service ->
            ServiceAggregate(
                servingGroups = servingState.servingGroups(service).size,
                freeRequests = routerState.freeRequests(service),
                queuedRequests = routerState.queueLength(service),
            )
        }

    private fun attemptTarget(
        decision: RouterDecision.StartAttempt,
        step: ControlStep,
    ): AttemptTarget? {
        val host = hosts[decision.host] ?: return null
        val admitted =
            admission.admit(decision.request, decision.attempt, host.id, decision.boot, step) ?: return null
        val group = groups.groupAt(host.id)
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

    private fun fencingNumberSeen(news: PartNews.ControlGained) =
        MembershipEvent.FencingNumberObserved(identity.failureDomain, news.fencingNumber)

    private fun servicesCounted(news: PartNews.ServicesCounted) =
        MembershipEvent.ServicesAggregated(news.services, news.fencingNumber)

    private companion object {
        val SERVICES_INTERVAL: Duration = Duration.ofMillis(500)
    }
}
