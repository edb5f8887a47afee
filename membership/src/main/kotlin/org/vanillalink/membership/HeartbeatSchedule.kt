/*
 * Sends the heartbeats that are due: to the failure domain's own daemons, to a few other failure domains, to seeds.
 */
package org.vanillalink.membership

import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.Transition
import java.time.Duration
import java.time.Instant

internal class HeartbeatSchedule(
    private val composer: HeartbeatComposer,
) {
    fun near(
        state: MembershipState,
        now: Instant,
    ): Transition<MembershipState, MembershipDecision> {
        val due = state.peers.values.filter { state.isNear(it) && it.nextHeartbeatAt <= now }
        return send(state, due.filter { it.status != PeerStatus.LEAVING }, now)
    }

    fun remote(
        state: MembershipState,
        now: Instant,
    ): Transition<MembershipState, MembershipDecision> {
        if (now < state.nextRemoteAt) return Transition(state)
        val domains = HeartbeatTimes.remoteDomains(state)
        val rank = maxOf(0, state.activeDaemons.indexOf(state.identity.daemon))
        val first = (rank + state.remoteRound) * HeartbeatTimes.REMOTE_DOMAINS_PER_INTERVAL
        val count = minOf(domains.size, HeartbeatTimes.REMOTE_DOMAINS_PER_INTERVAL)
        val chosen = List(count) { domains[(first + it) % domains.size] }
        val contacts = chosen.distinct().mapNotNull { contact(state, it) }
        val next = now.plus(HeartbeatTimes.interval(state))
        return send(state.copy(nextRemoteAt = next, remoteRound = state.remoteRound + 1), contacts, now)
    }

    fun seeds(
        state: MembershipState,
        now: Instant,
    ): Transition<MembershipState, MembershipDecision> {
        if (now < state.nextSeedsAt) return Transition(state)
        val heard = state.peers.values.filter { it.status != PeerStatus.SILENT }
        val known = heard.map { it.identity.endpoints.peers } + state.identity.endpoints.peers
        val message = composer.toSeed(state, now)
        val decisions = (state.seeds - known.toSet()).map { MembershipDecision.SendHeartbeat(it, message) }
        return Transition(state.copy(nextSeedsAt = now.plus(HeartbeatTimes.SEED_RETRY)), decisions)
    }

    /** Heartbeats out of turn to the [peers]. */
    fun send(
        state: MembershipState,
        peers: List<PeerState>,
        now: Instant,
    ): Transition<MembershipState, MembershipDecision> {
        val interval = HeartbeatTimes.interval(state)
        val decisions =
            peers.map { MembershipDecision.SendHeartbeat(it.identity.endpoints.peers, composer.toPeer(state, it, now)) }
        val sent = peers.associate { it.identity.daemon to sentTo(it, interval, now) }
        return Transition(state.copy(peers = state.peers + sent), decisions)
    }

    private fun sentTo(
        peer: PeerState,
        interval: Duration,
        now: Instant,
    ): PeerState {
        val wait = if (peer.status == PeerStatus.SILENT) HeartbeatTimes.SILENT_RETRY else interval
        val restatedAt = if (composer.isWholeDue(peer, now)) now else peer.restatedAt
        return peer.copy(nextHeartbeatAt = now.plus(wait), restatedAt = restatedAt)
    }

    private fun contact(
        state: MembershipState,
        domain: FailureDomainId,
    ): PeerState? {
        val heard = state.contacts(domain)
        if (heard.isNotEmpty()) {
            val chosen = Rendezvous.choose("contact/${state.identity.daemon}", heard.map { it.identity.daemon }, 1)
            return state.peers[chosen.first()]
        }
        val unheard = state.peers.values.filter { it.identity.failureDomain == domain }
        val silent = unheard.filter { it.status == PeerStatus.SILENT }.sortedBy { it.identity.daemon }
        return if (silent.isEmpty()) null else silent[state.remoteRound % silent.size]
    }
}
