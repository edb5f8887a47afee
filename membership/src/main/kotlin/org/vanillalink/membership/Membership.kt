/*
 * Which daemons there are, and how knowledge spreads between them.
 *
 * Daemons of one failure domain send each other heartbeats; to other failure domains each daemon speaks through a few
 * contacts, so that its cost follows its own domain and not the fleet. A heartbeat carries only the pieces that its
 * receiver has not acknowledged.
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

/** Decides whom to tell what; see the head of the file. */
class Membership : Aggregate<MembershipState, MembershipEvent, MembershipDecision> {
    private val composer = HeartbeatComposer()
    private val publisher = LocalPublisher()
    private val schedule = HeartbeatSchedule(composer)

    override fun handle(
        state: MembershipState,
        event: MembershipEvent,
        now: Instant,
    ): MembershipTransition {
        val next = apply(publisher.withSelf(state, now), event, now)
        val heard = next.state.activeDaemons
        if (heard == state.activeDaemons) return next
        return Transition(next.state, next.decisions + MembershipDecision.ActiveDaemonsChanged(heard))
    }

    private fun apply(
        state: MembershipState,
        event: MembershipEvent,
        now: Instant,
    ): MembershipTransition = when (event) {
        MembershipEvent.Tick -> tick(state, now)
        is MembershipEvent.HeartbeatReceived -> received(state, event.heartbeat, now)
        is MembershipEvent.HeartbeatAnswered -> answered(state, event.answer, now)
        is MembershipEvent.HeartbeatFailed -> Transition(failed(state, event.endpoint))
        is MembershipEvent.LocalStateChanged -> localChanged(state, event, now)
        is MembershipEvent.ServicesAggregated -> Transition(publisher.servicesCounted(state, event, now))
        is MembershipEvent.FencingNumberObserved -> Transition(publisher.fencingSeen(state, event, now))
        is MembershipEvent.StrikeRecorded -> Transition(publisher.publish(state, event.strike, FencingNumber.NONE, now))
        MembershipEvent.LeavingStarted -> leave(state, now)
    }

    private fun tick(
        state: MembershipState,
        now: Instant,
    ): MembershipTransition {
        val current = state.copy(gossip = state.gossip.withoutExpired(now))
        return aged(current, now)
            .then { schedule.near(it, now) }
            .then { schedule.remote(it, now) }
            .then { schedule.seeds(it, now) }
    }

    private fun aged(
        state: MembershipState,
        now: Instant,
    ): MembershipTransition {
        val interval = HeartbeatTimes.interval(state)
        val kept = state.peers.filterValues { !isForgotten(it, now) }
        val peers =
            kept.mapValues { (_, peer) ->
                peer.copy(status = HeartbeatTimes.statusAt(state, peer, interval, now))
            }
        val silent = peers.values.filter { it.status == PeerStatus.SILENT && wasHeard(kept, it) }
        return Transition(state.copy(peers = peers), silent.map { record(it, PeerChange.SILENT) })
    }

    private fun wasHeard(
        earlier: Map<DaemonId, PeerState>,
        peer: PeerState,
    ): Boolean = earlier[peer.identity.daemon]?.status != PeerStatus.SILENT

    private fun isForgotten(
        peer: PeerState,
        now: Instant,
    ): Boolean {
        val absent = peer.status == PeerStatus.SILENT || peer.status == PeerStatus.LEAVING
        return absent && peer.lastReceivedAt.plus(HeartbeatTimes.FORGOTTEN_AFTER) <= now
    }

    private fun received(
        state: MembershipState,
        heartbeat: Heartbeat,
        now: Instant,
    ): MembershipTransition {
        val sender = heartbeat.identity
        if (sender.daemon == state.identity.daemon) return Transition(state)
        val heard = heard(state, sender, heartbeat.leaving, now)
        val known = withFacts(heard, sender.daemon, heartbeat.configurationRevision, heartbeat.heldFencingNumber)
        val age = heartbeat.confirmedAgeMilliseconds?.let { Duration.ofMillis(it) }
        val revision = revisionHeard(sender.daemon, heartbeat.configurationRevision, age)
        val taken = known.then { takeItems(it, sender.daemon, heartbeat.items, now) }
        val answer = MembershipDecision.AnswerHeartbeat(composer.answer(taken.state, heartbeat, now))
        return Transition(taken.state, taken.decisions + revision + answer)
    }

    private fun answered(
        state: MembershipState,
        answer: HeartbeatAnswer,
        now: Instant,
    ): MembershipTransition {
        val peer = state.peers[answer.daemon]
        val identity = answer.identity ?: peer?.identity?.copy(boot = answer.boot) ?: return Transition(state)
        val sameBoot = answer.boot == peer?.identity?.boot
        val leaving = peer?.status == PeerStatus.LEAVING && sameBoot
        val heard = heard(state, identity, leaving, now)
        val known = withFacts(heard, answer.daemon, answer.configurationRevision, answer.heldFencingNumber)
        val acknowledged = if (sameBoot) acknowledge(known.state, answer) else known.state
        val age = answer.confirmedAgeMilliseconds?.let { Duration.ofMillis(it) }
        val revision = revisionHeard(answer.daemon, answer.configurationRevision, age)
        return Transition(acknowledged, known.decisions + revision)
    }

    private fun acknowledge(
        state: MembershipState,
        answer: HeartbeatAnswer,
    ): MembershipState {
        val peer = state.peers.getValue(answer.daemon)
        val change = maxOf(peer.acknowledgedChange, answer.change)
        return state.withPeer(peer.copy(acknowledgedChange = change))
    }

    private fun heard(
        state: MembershipState,
        identity: DaemonIdentity,
        leaving: Boolean,
        now: Instant,
    ): MembershipTransition {
        val known = state.peers[identity.daemon]
        val peer = heardPeer(known, identity, leaving, now)
        val change = changeOf(known, peer)
        val decisions = listOfNotNull(change?.let { record(peer, it) })
        return Transition(state.withPeer(peer), decisions)
    }

    private fun heardPeer(
        known: PeerState?,
        identity: DaemonIdentity,
        leaving: Boolean,
        now: Instant,
    ): PeerState {
        val status = if (leaving) PeerStatus.LEAVING else PeerStatus.ALIVE
        if (known == null || known.identity.boot != identity.boot) return PeerState(identity, status, now, now)
        // A message from before the announcement may arrive after it.
        val stays = known.status == PeerStatus.LEAVING
        val next = if (known.status == PeerStatus.SILENT) now else known.nextHeartbeatAt
        val current = if (stays) PeerStatus.LEAVING else status
        return known.copy(identity = identity, status = current, lastReceivedAt = now, nextHeartbeatAt = next)
    }

    private fun changeOf(
        known: PeerState?,
        peer: PeerState,
    ): PeerChange? = when {
        peer.status == PeerStatus.LEAVING -> PeerChange.LEAVING.takeIf { known?.status != PeerStatus.LEAVING }
        known == null -> PeerChange.JOINED
        known.identity.boot != peer.identity.boot -> PeerChange.RESTARTED
        known.status == PeerStatus.SILENT -> PeerChange.RETURNED
        else -> null
    }

    private fun withFacts(
        heard: MembershipTransition,
        daemon: DaemonId,
        revision: Long?,
        fencingNumber: FencingNumber?,
    ): MembershipTransition {
        val peer = heard.state.peers.getValue(daemon)
        val told = peer.copy(configurationRevision = revision, heldFencingNumber = fencingNumber)
        return Transition(heard.state.withPeer(told), heard.decisions)
    }

    private fun revisionHeard(
        peer: DaemonId,
        revision: Long?,
        confirmedAge: Duration?,
    ): List<MembershipDecision> =
        listOfNotNull(revision?.let { MembershipDecision.RevisionReceived(peer, it, confirmedAge) })

    private fun takeItems(
        state: MembershipState,
        from: DaemonId,
        items: List<GossipItem>,
        now: Instant,
    ): MembershipTransition = items.fold(Transition(state, emptyList())) { soFar: MembershipTransition, item ->
        soFar.then { takeItem(it, from, item, now) }
    }

    private fun takeItem(
        state: MembershipState,
        from: DaemonId,
        item: GossipItem,
        now: Instant,
    ): MembershipTransition {
        if (isSurplusContact(state, item.payload)) return Transition(state)
        val gossip = state.gossip.take(item, from, now) ?: return Transition(state)
        val taken = state.copy(gossip = gossip)
        return when (val payload = item.payload) {
            is GossipPayload.Member -> {
                memberHeard(taken, payload, now)
            }

            is GossipPayload.Services -> {
                Transition(taken)
            }

            is GossipPayload.Control -> {
                val heard = MembershipDecision.FencingNumberReceived(payload.failureDomain, payload.fencingNumber)
                Transition(taken, listOf(heard))
            }

            is GossipPayload.Strike -> {
                Transition(taken, listOf(MembershipDecision.StrikeReceived(payload)))
            }
        }
    }

    /** Whether enough daemons of another failure domain are known, so that what is kept doesn't follow the fleet. */
    private fun isSurplusContact(
        state: MembershipState,
        payload: GossipPayload,
    ): Boolean {
        val identity = (payload as? GossipPayload.Member)?.identity ?: return false
        val near = identity.failureDomain == state.identity.failureDomain
        if (near || identity.daemon in state.peers) return false
        return state.contacts(identity.failureDomain).size >= HeartbeatComposer.CONTACTS_TOLD
    }

    private fun memberHeard(
        state: MembershipState,
        member: GossipPayload.Member,
        now: Instant,
    ): MembershipTransition {
        val identity = member.identity
        if (identity.daemon == state.identity.daemon) return Transition(publisher.withSelf(state, now))
        val known = state.peers[identity.daemon]
        if (known == null) {
            val status = if (member.leaving) PeerStatus.LEAVING else PeerStatus.SILENT
            return Transition(state.withPeer(PeerState(identity, status, lastReceivedAt = now, nextHeartbeatAt = now)))
        }
        val leaves = member.leaving && known.identity.boot == identity.boot && known.status != PeerStatus.LEAVING
        if (!leaves) return Transition(state)
        val leaving = known.copy(status = PeerStatus.LEAVING)
        return Transition(state.withPeer(leaving), listOf(record(leaving, PeerChange.LEAVING)))
    }

    private fun localChanged(
        state: MembershipState,
        event: MembershipEvent.LocalStateChanged,
        now: Instant,
    ): MembershipTransition {
        val changed = state.copy(local = event.local)
        val revision = event.local.configurationRevision
        if (!event.urgent || revision == null) return Transition(changed)
        val near = changed.peers.values.filter { changed.isNear(it) && it.status == PeerStatus.ALIVE }
        return schedule.send(changed, near.filter { (it.configurationRevision ?: -1) < revision }, now)
    }

    private fun failed(
        state: MembershipState,
        endpoint: Endpoint,
    ): MembershipState {
        val peer = state.peers.values.find { it.identity.endpoints.peers == endpoint } ?: return state
        if (peer.status != PeerStatus.ALIVE) return state
        return state.withPeer(peer.copy(status = PeerStatus.SUSPECTED))
    }

    private fun leave(
        state: MembershipState,
        now: Instant,
    ): MembershipTransition {
        val leaving = publisher.withSelf(state.copy(leaving = true), now)
        val near = leaving.peers.values.filter { leaving.isNear(it) && it.status != PeerStatus.LEAVING }
        return schedule.send(leaving, near, now).then { schedule.remote(it.copy(nextRemoteAt = now), now) }
    }

    private fun record(
        peer: PeerState,
        change: PeerChange,
    ): MembershipDecision = MembershipDecision.RecordPeerChange(peer.identity, change)

    private fun MembershipState.withPeer(peer: PeerState): MembershipState =
        copy(peers = peers + (peer.identity.daemon to peer))

    private fun MembershipTransition.then(next: (MembershipState) -> MembershipTransition): MembershipTransition {
        val following = next(state)
        return Transition(following.state, decisions + following.decisions)
    }
}
