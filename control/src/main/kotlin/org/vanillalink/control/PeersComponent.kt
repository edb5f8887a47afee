/*
 * The other daemons' part of a daemon's decisions: heartbeats, shared reports, what other failure domains offer.
 */
package org.vanillalink.control

import org.vanillalink.configuration.ConfigurationReplica
import org.vanillalink.configuration.ReplicaEvent
import org.vanillalink.control.admission.DomainController
import org.vanillalink.groups.ReceivedReport
import org.vanillalink.membership.DaemonIdentity
import org.vanillalink.membership.LocalState
import org.vanillalink.membership.Membership
import org.vanillalink.membership.MembershipDecision
import org.vanillalink.membership.MembershipEvent
import org.vanillalink.membership.MembershipState
import org.vanillalink.membership.PeerChange
import org.vanillalink.membership.ReportDelta
import org.vanillalink.model.DaemonId
import org.vanillalink.model.Endpoint
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.FencingNumber
import org.vanillalink.model.Generation
import org.vanillalink.model.GroupId
import org.vanillalink.model.Host
import java.time.Duration
import java.time.Instant

internal class PeersComponent(
    private val identity: DaemonIdentity,
    seeds: List<Endpoint>,
    startedAt: Instant,
) {
    private val membership = Membership()
    private val targetReports = TargetReportExchange(identity.daemon)
    private val remoteCapacities = RemoteCapacities(identity.daemon)
    private var nextReportsAt = startedAt

    var state = MembershipState(identity, seeds)
        private set

    fun handle(
        event: MembershipEvent,
        step: ProcessingStep,
    ) {
        val next = membership.handle(state, event, step.now)
        state = next.state
        next.decisions.forEach { execute(it, step) }
    }

    fun localStateChanged(
        local: LocalState,
        urgent: Boolean,
        step: ProcessingStep,
    ) {
        if (local != state.local) handle(MembershipEvent.LocalStateChanged(local, urgent), step)
    }

    /** The controller of the own failure domain: this daemon or the peer with the greatest number. */
    fun domainController(heldNumber: FencingNumber?): DomainController? {
        val domainPeers = state.peers.values.filter { it.identity.failureDomain == identity.failureDomain }
        val peerControllers =
            domainPeers.mapNotNull { peer ->
                peer.heldFencingNumber?.let { DomainController(peer.identity.daemon, it) }
            }
        val ownController = listOfNotNull(heldNumber?.let { DomainController(identity.daemon, it) })
        return (peerControllers + ownController).maxByOrNull { it.fencingNumber }
    }

    /** Takes a report that a target itself gave. */
    fun reportFetched(
        received: ReceivedReport,
        step: ProcessingStep,
    ) {
        targetReports.recordReport(received.report, received.receivedAt)
        step.publish(LocalEvent.ReportUpdated(received))
    }

    fun reportsShared(
        delta: ReportDelta,
        step: ProcessingStep,
    ) = targetReports.applyDelta(delta, step.now).forEach { step.publish(LocalEvent.ReportUpdated(it)) }

    fun reportsAcknowledged(
        peer: DaemonId,
        change: Long,
    ) = targetReports.acknowledge(peer, change)

    /** Shares reports and [endedGenerations] generations, and asks targets for new reports, when it is time to. */
    fun exchangeReports(
        hosts: Collection<Host>,
        endedGenerations: Map<GroupId, Generation>,
        step: ProcessingStep,
    ) {
        if (step.now < nextReportsAt) return
        nextReportsAt = step.now.plus(REPORT_INTERVAL)
        state.contacts(identity.failureDomain).map { it.identity }.forEach { peer ->
            val delta = targetReports.buildDelta(peer.daemon, step.now).copy(endedGenerations = endedGenerations)
            step.addDecision(DaemonDecision.ShareReports(peer.daemon, peer.endpoints.peers, delta))
        }
        val domainHosts = hosts.filter { it.failureDomain == identity.failureDomain }
        targetReports.targetsToQuery(domainHosts, state, step.now).forEach {
            step.addDecision(DaemonDecision.FetchReport(it.id, it.endpoint))
        }
    }

    /** Tells what [failureDomains] offer. */
    fun publishRemoteCapacities(
        failureDomains: Collection<FailureDomainId>,
        step: ProcessingStep,
    ) = remoteCapacities
        .capacityEvents(
            failureDomains,
            state,
            step.now,
        ).forEach { step.publish(LocalEvent.ForRouter(it)) }

    private fun execute(
        decision: MembershipDecision,
        step: ProcessingStep,
    ) {
        when (decision) {
            is MembershipDecision.RevisionReceived -> {
                val event = ReplicaEvent.PeerRevisionReceived(decision.peer, decision.revision, decision.confirmedAge)
                step.publish(LocalEvent.ForReplica(event))
            }

            is MembershipDecision.FencingNumberReceived -> {
                val isOwnDomain = decision.failureDomain == identity.failureDomain
                if (isOwnDomain) step.publish(LocalEvent.FencingNumberReceived(decision.fencingNumber))
            }

            is MembershipDecision.ActiveDaemonsChanged -> {
                val isPoller = state.isConfigurationPoller(ConfigurationReplica.POLLERS_PER_FAILURE_DOMAIN)
                step.publish(LocalEvent.ForReplica(ReplicaEvent.PollingRoleChanged(isPoller)))
                step.publish(LocalEvent.ActiveDaemonsChanged(decision.daemons.toSet()))
            }

            is MembershipDecision.RecordPeerChange -> {
                peerChanged(decision, step)
            }

            is MembershipDecision.StrikeReceived -> {
                StrikeText.parse(decision.strike)?.let { step.publish(LocalEvent.StrikeReceived(it)) }
            }

            is MembershipDecision.SendHeartbeat, is MembershipDecision.AnswerHeartbeat -> {
                step.addDecision(DaemonDecision.ForMembership(decision))
            }
        }
    }

    private fun peerChanged(
        decision: MembershipDecision.RecordPeerChange,
        step: ProcessingStep,
    ) {
        step.addDecision(TimelineRecords.from(decision))
        if (decision.change == PeerChange.JOINED) return
        val peer = decision.peer.daemon
        targetReports.resetAcknowledgement(peer)
        val isLost = decision.change == PeerChange.SILENT || decision.change == PeerChange.LEAVING
        if (isLost) step.publish(LocalEvent.ForReplica(ReplicaEvent.PeerLost(peer)))
    }

    private companion object {
        val REPORT_INTERVAL: Duration = Duration.ofMillis(500)
    }
}
