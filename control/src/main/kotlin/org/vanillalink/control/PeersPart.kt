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

internal class PeersPart(
    private val identity: DaemonIdentity,
    seeds: List<Endpoint>,
    startedAt: Instant,
) {
    private val membership = Membership()
    private val targetReports = TargetReports(identity.daemon)
    private val remoteCapacities = RemoteCapacities(identity.daemon)
    private var nextReportsAt = startedAt

    var state = MembershipState(identity, seeds)
        private set

    fun handle(
        event: MembershipEvent,
        step: ControlStep,
    ) {
        val next = membership.handle(state, event, step.now)
        state = next.state
        next.decisions.forEach { follow(it, step) }
    }

    fun localStateChanged(
        local: LocalState,
        urgent: Boolean,
        step: ControlStep,
    ) {
        if (local != state.local) handle(MembershipEvent.LocalStateChanged(local, urgent), step)
    }

    /** Who controls the own failure domain: this daemon where [held] is set and greatest, or the peer that says so. */
    fun domainController(held: FencingNumber?): DomainController? {
        val near = state.peers.values.filter { it.identity.failureDomain == identity.failureDomain }
        val told =
            near.mapNotNull { peer ->
                peer.heldFencingNumber?.let { DomainController(peer.identity.daemon, it) }
            }
        val own = listOfNotNull(held?.let { DomainController(identity.daemon, it) })
        return (told + own).maxByOrNull { it.fencingNumber }
    }

    /** Takes a report that a target itself gave. */
    fun reportAnswered(
        received: ReceivedReport,
        step: ControlStep,
    ) {
        targetReports.answered(received.report, received.receivedAt)
        step.tell(PartNews.ReportKnown(received))
    }

    fun reportsShared(
        delta: ReportDelta,
        step: ControlStep,
    ) = targetReports.received(delta, step.now).forEach { step.tell(PartNews.ReportKnown(it)) }

    fun reportsAcknowledged(
        peer: DaemonId,
        change: Long,
    ) = targetReports.acknowledged(peer, change)

    /** Shares reports and [ended] generations, and asks targets for new reports, when it is time to. */
    fun exchangeReports(
        hosts: Collection<Host>,
        ended: Map<GroupId, Generation>,
        step: ControlStep,
    ) {
        if (step.now < nextReportsAt) return
        nextReportsAt = step.now.plus(REPORT_INTERVAL)
        state.contacts(identity.failureDomain).map { it.identity }.forEach { peer ->
            val delta = targetReports.deltaFor(peer.daemon, step.now).copy(endedGenerations = ended)
            step.decide(DaemonDecision.ShareReports(peer.daemon, peer.endpoints.peers, delta))
        }
        val own = hosts.filter { it.failureDomain == identity.failureDomain }
        targetReports.toAsk(own, state, step.now).forEach {
            step.decide(DaemonDecision.FetchReport(it.id, it.endpoint))
        }
    }

    /** Tells what [failureDomains] offer. */
    fun tellRemoteCapacities(
        failureDomains: Collection<FailureDomainId>,
        step: ControlStep,
    ) = remoteCapacities.events(failureDomains, state, step.now).forEach { step.tell(PartNews.ForRouter(it)) }

    private fun follow(
        decision: MembershipDecision,
        step: ControlStep,
    ) {
        when (decision) {
            is MembershipDecision.RevisionReceived -> {
                val event = ReplicaEvent.PeerRevisionReceived(decision.peer, decision.revision, decision.confirmedAge)
                step.tell(PartNews.ForReplica(event))
            }

            is MembershipDecision.FencingNumberReceived -> {
                val own = decision.failureDomain == identity.failureDomain
                if (own) step.tell(PartNews.FencingNumberHeard(decision.fencingNumber))
            }

            is MembershipDecision.ActiveDaemonsChanged -> {
                val polls = state.isConfigurationPoller(ConfigurationReplica.POLLERS_PER_FAILURE_DOMAIN)
                step.tell(PartNews.ForReplica(ReplicaEvent.PollingRoleChanged(polls)))
                step.tell(PartNews.DaemonsHeard(decision.daemons.toSet()))
            }

            is MembershipDecision.RecordPeerChange -> {
                peerChanged(decision, step)
            }

            is MembershipDecision.StrikeReceived -> {
                StrikeText.parse(decision.strike)?.let { step.tell(PartNews.StrikeHeard(it)) }
            }

            is MembershipDecision.SendHeartbeat, is MembershipDecision.AnswerHeartbeat -> {
                step.decide(DaemonDecision.ForMembership(decision))
            }
        }
    }

    private fun peerChanged(
        decision: MembershipDecision.RecordPeerChange,
        step: ControlStep,
    ) {
        step.decide(TimelineNotes.of(decision))
        if (decision.change == PeerChange.JOINED) return
        val peer = decision.peer.daemon
        targetReports.forget(peer)
        val gone = decision.change == PeerChange.SILENT || decision.change == PeerChange.LEAVING
        if (gone) step.tell(PartNews.ForReplica(ReplicaEvent.PeerLost(peer)))
    }

    private companion object {
        val REPORT_INTERVAL: Duration = Duration.ofMillis(500)
    }
}
