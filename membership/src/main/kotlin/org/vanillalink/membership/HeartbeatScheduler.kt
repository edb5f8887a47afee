/*
 * Sends the heartbeats that are due: to peers of the own failure domain, to contacts in a few other failure domains,
 * and to seeds.
 */
package org.vanillalink.membership

import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.Transition
import java.time.Duration
import java.time.Instant

internal class HeartbeatScheduler(
    private val composer: HeartbeatComposer,
) {
    fun sendToOwnDomain(
        state: MembershipState,
        now: Instant,
    ): Transition<MembershipState, MembershipDecision> {
        val due = state.peers.values.filter { state.isInSameDomain(it) && it.nextHeartbeatAt <= now }
        return sendTo(state, due.filter { it.status != PeerStatus.LEAVING }, now)
    }

    fun sendToRemoteDomains(
        state: MembershipState,
        now: Instant,
    ): Transition<MembershipState, MembershipDecision> {
        if (now < state.nextRemoteHeartbeatAt) return Transition(state)
        val domains = HeartbeatTiming.remoteDomains(state)
        val ownIndex = maxOf(0, state.activeDaemons.indexOf(state.identity.daemon))
        val firstIndex = (ownIndex + state.remoteRound) * HeartbeatTiming.REMOTE_DOMAINS_PER_INTERVAL
        val domainCount = minOf(domains.size, HeartbeatTiming.REMOTE_DOMAINS_PER_INTERVAL)
        val selectedDomains = List(domainCount) { domains[(firstIndex + it) % domains.size] }
        val contacts = selectedDomains.distinct().mapNotNull { selectContact(state, it) }
        val nextRoundAt = now.plus(HeartbeatTiming.interval(state))
        return sendTo(
            state.copy(nextRemoteHeartbeatAt = nextRoundAt, remoteRound = state.remoteRound + 1),
            contacts,
            now,
        )
    }

    fun sendToSeeds(
        state: MembershipState,
        now: Instant,
    ): Transition<MembershipState, MembershipDecision> {
        if (now < state.nextSeedHeartbeatAt) return Transition(state)
        val nonSilentPeers = state.peers.values.filter { it.status != PeerStatus.SILENT }
        val knownEndpoints = nonSilentPeers.map { it.identity.endpoints.peers } + state.identity.endpoints.peers
        val message = composer.composeForSeed(state, now)
        val decisions = (state.seeds - knownEndpoints.toSet()).map { MembershipDecision.SendHeartbeat(it, message) }
        return Transition(state.copy(nextSeedHeartbeatAt = now.plus(HeartbeatTiming.SEED_RETRY_INTERVAL)), decisions)
    }

    /** Sends heartbeats to [peers] now, whether or not they are due, and schedules the next ones. */
    fun sendTo(
        state: MembershipState,
        peers: List<PeerState>,
        now: Instant,
    ): Transition<MembershipState, MembershipDecision> {
        val interval = HeartbeatTiming.interval(state)
        val decisions =
            peers.map {
                MembershipDecision.SendHeartbeat(
                    it.identity.endpoints.peers,
                    composer.composeForPeer(state, it, now),
                )
            }
        val updatedPeers = peers.associate { it.identity.daemon to withNextHeartbeat(it, interval, now) }
        return Transition(state.copy(peers = state.peers + updatedPeers), decisions)
    }

    private fun withNextHeartbeat(
        peer: PeerState,
        interval: Duration,
        now: Instant,
    ): PeerState {
        val delay = if (peer.status == PeerStatus.SILENT) HeartbeatTiming.SILENT_PEER_RETRY_INTERVAL else interval
        val fullStateSentAt = if (composer.isFullStateDue(peer, now)) now else peer.fullStateSentAt
        return peer.copy(nextHeartbeatAt = now.plus(delay), fullStateSentAt = fullStateSentAt)
    }

    private fun selectContact(
        state: MembershipState,
        domain: FailureDomainId,
    ): PeerState? {
        val activeContacts = state.contacts(domain)
        if (activeContacts.isNotEmpty()) {
            val selected =
                RendezvousHash.choose(
                    "contact/${state.identity.daemon}",
                    activeContacts.map { it.identity.daemon },
                    1,
                )
            return state.peers[selected.first()]
        }
        val domainPeers = state.peers.values.filter { it.identity.failureDomain == domain }
        val silent = domainPeers.filter { it.status == PeerStatus.SILENT }.sortedBy { it.identity.daemon }
        return if (silent.isEmpty()) null else silent[state.remoteRound % silent.size]
    }
}
