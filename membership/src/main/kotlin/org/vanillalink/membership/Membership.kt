/*
 * Membership of daemons and dissemination of gossip by heartbeats.
 *
 * All daemons of one failure domain send each other heartbeats. To other failure domains each daemon sends them only
 * through a few contacts, so that its cost grows with its own domain and not with the fleet. A heartbeat carries only
 * the gossip items that its receiver has not acknowledged.
 */
package org.vanillalink.membership

import org.vanillalink.model.Aggregate
import org.vanillalink.model.BootId
import org.vanillalink.model.DaemonId
import org.vanillalink.model.Endpoint
import org.vanillalink.model.FencingNumber
import org.vanillalink.model.Transition
import java.time.Duration
import java.time.Instant

private typealias MembershipTransition = Transition<MembershipState, MembershipDecision>

/** Decides which heartbeats to send, tracks the status of peers and merges received gossip. */
class Membership : Aggregate<MembershipState, MembershipEvent, MembershipDecision> {
    private val composer = HeartbeatComposer()
    private val publisher = LocalPublisher()
    private val scheduler = HeartbeatScheduler(composer)

    override fun handle(
        state: MembershipState,
        event: MembershipEvent,
        now: Instant,
    ): MembershipTransition {
        val transition = apply(publisher.publishSelf(state, now), event, now)
        val activeDaemons = transition.state.activeDaemons
        if (activeDaemons == state.activeDaemons) return transition
        return Transition(
            transition.state,
            transition.decisions + MembershipDecision.ActiveDaemonsChanged(activeDaemons),
        )
    }

    private fun apply(
        state: MembershipState,
        event: MembershipEvent,
        now: Instant,
    ): MembershipTransition = when (event) {
        MembershipEvent.Tick -> tick(state, now)
        is MembershipEvent.HeartbeatReceived -> receiveHeartbeat(state, event.heartbeat, now)
        is MembershipEvent.HeartbeatAnswered -> receiveAnswer(state, event.answer, now)
        is MembershipEvent.HeartbeatFailed -> Transition(suspectPeer(state, event.endpoint))
        is MembershipEvent.LocalStateChanged -> changeLocalState(state, event, now)
        is MembershipEvent.ServicesAggregated -> Transition(publisher.publishServices(state, event, now))
        is MembershipEvent.FencingNumberObserved -> Transition(publisher.publishFencingNumber(state, event, now))
        is MembershipEvent.StrikeRecorded -> Transition(publisher.publish(state, event.strike, FencingNumber.NONE, now))
        MembershipEvent.LeavingStarted -> startLeaving(state, now)
    }

    private fun tick(
        state: MembershipState,
        now: Instant,
    ): MembershipTransition {
        val current = state.copy(gossip = state.gossip.withoutExpired(now))
        return refreshStatuses(current, now)
            .then { scheduler.sendToOwnDomain(it, now) }
            .then { scheduler.sendToRemoteDomains(it, now) }
            .then { scheduler.sendToSeeds(it, now) }
    }

    private fun refreshStatuses(
        state: MembershipState,
        now: Instant,
    ): MembershipTransition {
        val interval = HeartbeatTiming.interval(state)
        val retained = state.peers.filterValues { !isRetentionOver(it, now) }
        val peers =
            retained.mapValues { (_, peer) ->
                peer.copy(status = HeartbeatTiming.currentStatus(state, peer, interval, now))
            }
        val silent = peers.values.filter { it.status == PeerStatus.SILENT && wasNotSilent(retained, it) }
        return Transition(state.copy(peers = peers), silent.map { recordChange(it, PeerChange.SILENT) })
    }

    private fun wasNotSilent(
        previousPeers: Map<DaemonId, PeerState>,
        peer: PeerState,
    ): Boolean = previousPeers[peer.identity.daemon]?.status != PeerStatus.SILENT

    private fun isRetentionOver(
        peer: PeerState,
        now: Instant,
    ): Boolean {
        val isAbsent = peer.status == PeerStatus.SILENT || peer.status == PeerStatus.LEAVING
        return isAbsent && peer.lastReceivedAt.plus(HeartbeatTiming.ABSENT_PEER_RETENTION) <= now
    }

    private fun receiveHeartbeat(
        state: MembershipState,
        heartbeat: Heartbeat,
        now: Instant,
    ): MembershipTransition {
        val sender = heartbeat.identity
        if (sender.daemon == state.identity.daemon) return Transition(state)
        val updated = recordMessage(state, sender, heartbeat.leaving, now)
        val reported =
            withReportedState(updated, sender.daemon, heartbeat.configurationRevision, heartbeat.heldFencingNumber)
        val age = heartbeat.confirmedAgeMilliseconds?.let { Duration.ofMillis(it) }
        val revision = revisionDecisions(sender.daemon, heartbeat.configurationRevision, age)
        val merged = reported.then { mergeItems(it, sender.daemon, heartbeat.items, now) }
        val answer = MembershipDecision.AnswerHeartbeat(composer.composeAnswer(merged.state, heartbeat, now))
        return Transition(merged.state, merged.decisions + revision + answer)
    }

    private fun receiveAnswer(
        state: MembershipState,
        answer: HeartbeatAnswer,
        now: Instant,
    ): MembershipTransition {
        val peer = state.peers[answer.daemon]
        val identity = answer.identity ?: peer?.identity?.copy(boot = answer.boot) ?: return Transition(state)
        val isSameBoot = answer.boot == peer?.identity?.boot
        val leaving = peer?.status == PeerStatus.LEAVING && isSameBoot
        val updated = recordMessage(state, identity, leaving, now)
        val reported = withReportedState(updated, answer.daemon, answer.configurationRevision, answer.heldFencingNumber)
        val acknowledged = if (isSameBoot) acknowledge(reported.state, answer) else reported.state
        val age = answer.confirmedAgeMilliseconds?.let { Duration.ofMillis(it) }
        val revision = revisionDecisions(answer.daemon, answer.configurationRevision, age)
        return Transition(acknowledged, reported.decisions + revision)
    }

    private fun acknowledge(
        state: MembershipState,
        answer: HeartbeatAnswer,
    ): MembershipState {
        val peer = state.peers.getValue(answer.daemon)
        val change = maxOf(peer.acknowledgedChange, answer.change)
        return state.withPeer(peer.copy(acknowledgedChange = change))
    }

    private fun recordMessage(
        state: MembershipState,
        identity: DaemonIdentity,
        leaving: Boolean,
        now: Instant,
    ): MembershipTransition {
        val existing = state.peers[identity.daemon]
        val peer = updatePeer(existing, identity, leaving, now)
        val change = detectChange(existing, peer)
        val decisions = listOfNotNull(change?.let { recordChange(peer, it) })
        return Transition(state.withPeer(peer), decisions)
    }

    private fun updatePeer(
        existing: PeerState?,
        identity: DaemonIdentity,
        leaving: Boolean,
        now: Instant,
    ): PeerState {
        val status = if (leaving) PeerStatus.LEAVING else PeerStatus.ALIVE
        if (existing == null || existing.identity.boot != identity.boot) return PeerState(identity, status, now, now)
        // A message that was sent before the peer announced its shutdown may arrive after the announcement.
        val isLeaving = existing.status == PeerStatus.LEAVING
        val nextHeartbeatAt = if (existing.status == PeerStatus.SILENT) now else existing.nextHeartbeatAt
        val currentStatus = if (isLeaving) PeerStatus.LEAVING else status
        return existing.copy(
            identity = identity,
            status = currentStatus,
            lastReceivedAt = now,
            nextHeartbeatAt = nextHeartbeatAt,
        )
    }

    private fun detectChange(
        existing: PeerState?,
        peer: PeerState,
    ): PeerChange? = when {
        peer.status == PeerStatus.LEAVING -> PeerChange.LEAVING.takeIf { existing?.status != PeerStatus.LEAVING }
        existing == null -> PeerChange.JOINED
        existing.identity.boot != peer.identity.boot -> PeerChange.RESTARTED
        existing.status == PeerStatus.SILENT -> PeerChange.RETURNED
        else -> null
    }

    private fun withReportedState(
        transition: MembershipTransition,
        daemon: DaemonId,
        revision: Long?,
        fencingNumber: FencingNumber?,
    ): MembershipTransition {
        val peer = transition.state.peers.getValue(daemon)
        val updated = peer.copy(configurationRevision = revision, heldFencingNumber = fencingNumber)
        return Transition(transition.state.withPeer(updated), transition.decisions)
    }

    private fun revisionDecisions(
        peer: DaemonId,
        revision: Long?,
        confirmedAge: Duration?,
    ): List<MembershipDecision> =
        listOfNotNull(revision?.let { MembershipDecision.RevisionReceived(peer, it, confirmedAge) })

    private fun mergeItems(
        state: MembershipState,
        sender: DaemonId,
        items: List<GossipItem>,
        now: Instant,
    ): MembershipTransition = items.fold(Transition(state, emptyList())) { transition: MembershipTransition, item ->
        transition.then { mergeItem(it, sender, item, now) }
    }

    private fun mergeItem(
        state: MembershipState,
        sender: DaemonId,
        item: GossipItem,
        now: Instant,
    ): MembershipTransition {
        if (isSurplusContact(state, item.payload)) return Transition(state)
        val gossip = state.gossip.merge(item, sender, now) ?: return Transition(state)
        val merged = state.copy(gossip = gossip)
        return when (val payload = item.payload) {
            is GossipPayload.Member -> {
                mergeMember(merged, payload, now)
            }

            is GossipPayload.Services -> {
                Transition(merged)
            }

            is GossipPayload.Control -> {
                val decision = MembershipDecision.FencingNumberReceived(payload.failureDomain, payload.fencingNumber)
                Transition(merged, listOf(decision))
            }

            is GossipPayload.Strike -> {
                Transition(merged, listOf(MembershipDecision.StrikeReceived(payload)))
            }
        }
    }

    /**
     * Whether [payload] is about an unknown daemon of a remote failure domain of which enough contacts are known. Such
     * members are dropped, so that the state does not grow with the fleet.
     */
    private fun isSurplusContact(
        state: MembershipState,
        payload: GossipPayload,
    ): Boolean {
        val identity = (payload as? GossipPayload.Member)?.identity ?: return false
        val isSameDomain = identity.failureDomain == state.identity.failureDomain
        if (isSameDomain || identity.daemon in state.peers) return false
        return state.contacts(identity.failureDomain).size >= HeartbeatComposer.ANNOUNCED_CONTACTS
    }

    private fun mergeMember(
        state: MembershipState,
        member: GossipPayload.Member,
        now: Instant,
    ): MembershipTransition {
        val identity = member.identity
        if (identity.daemon == state.identity.daemon) return Transition(publisher.publishSelf(state, now))
        val existing = state.peers[identity.daemon]
        if (existing == null) {
            val status = if (member.leaving) PeerStatus.LEAVING else PeerStatus.SILENT
            return Transition(state.withPeer(PeerState(identity, status, lastReceivedAt = now, nextHeartbeatAt = now)))
        }
        val startsLeaving =
            member.leaving && existing.identity.boot == identity.boot && existing.status != PeerStatus.LEAVING
        if (!startsLeaving) return Transition(state)
        val leavingPeer = existing.copy(status = PeerStatus.LEAVING)
        return Transition(state.withPeer(leavingPeer), listOf(recordChange(leavingPeer, PeerChange.LEAVING)))
    }

    private fun changeLocalState(
        state: MembershipState,
        event: MembershipEvent.LocalStateChanged,
        now: Instant,
    ): MembershipTransition {
        val changed = state.copy(local = event.local)
        val revision = event.local.configurationRevision
        if (!event.urgent || revision == null) return Transition(changed)
        val alivePeers = changed.peers.values.filter { changed.isInSameDomain(it) && it.status == PeerStatus.ALIVE }
        return scheduler.sendTo(changed, alivePeers.filter { (it.configurationRevision ?: -1) < revision }, now)
    }

    private fun suspectPeer(
        state: MembershipState,
        endpoint: Endpoint,
    ): MembershipState {
        val peer = state.peers.values.find { it.identity.endpoints.peers == endpoint } ?: return state
        if (peer.status != PeerStatus.ALIVE) return state
        return state.withPeer(peer.copy(status = PeerStatus.SUSPECTED))
    }

    private fun startLeaving(
        state: MembershipState,
        now: Instant,
    ): MembershipTransition {
        val leavingState = publisher.publishSelf(state.copy(leaving = true), now)
        val sameDomainPeers =
            leavingState.peers.values.filter { leavingState.isInSameDomain(it) && it.status != PeerStatus.LEAVING }
        return scheduler.sendTo(leavingState, sameDomainPeers, now).then {
            scheduler.sendToRemoteDomains(it.copy(nextRemoteHeartbeatAt = now), now)
        }
    }

    private fun recordChange(
        peer: PeerState,
        change: PeerChange,
    ): MembershipDecision = MembershipDecision.RecordPeerChange(peer.identity, change)

    private fun MembershipState.withPeer(peer: PeerState): MembershipState =
        copy(peers = peers + (peer.identity.daemon to peer))

    private fun MembershipTransition.then(next: (MembershipState) -> MembershipTransition): MembershipTransition {
        val nextTransition = next(state)
        return Transition(nextTransition.state, decisions + nextTransition.decisions)
    }
}
