/*
 * Selects the gossip items of a heartbeat to one peer.
 *
 * Within a failure domain an item is sent by its author, and otherwise only by or to the two daemons that relay its
 * subject, so that a daemon receives an item about twice and not once from each peer. Between failure domains a contact
 * is sent every item that it has not acknowledged, but only a few members of each domain are announced.
 */
package org.vanillalink.membership

import org.vanillalink.model.DaemonId
import java.time.Duration
import java.time.Instant

internal class HeartbeatComposer {
    fun composeForPeer(
        state: MembershipState,
        peer: PeerState,
        now: Instant,
    ): Heartbeat {
        val isFullState = isFullStateDue(peer, now)
        val acknowledgedChange = if (isFullState) 0 else peer.acknowledgedChange
        val unacknowledged =
            state.gossip.entries.values
                .filter { it.changeNumber > acknowledgedChange && it.receivedFrom != peer.identity.daemon }
        val recipientFilter = RecipientFilter(state, peer)
        val items = unacknowledged.filter { recipientFilter.includes(it) }.map { it.toItem(now) }
        return baseHeartbeat(state, now).copy(change = state.gossip.changeCount, whole = isFullState, items = items)
    }

    /** Composes a first heartbeat to a seed whose daemon is not known yet; it carries no items. */
    fun composeForSeed(
        state: MembershipState,
        now: Instant,
    ): Heartbeat = baseHeartbeat(state, now)

    fun composeAnswer(
        state: MembershipState,
        heartbeat: Heartbeat,
        now: Instant,
    ): HeartbeatAnswer = HeartbeatAnswer(
        daemon = state.identity.daemon,
        boot = state.identity.boot,
        change = heartbeat.change,
        configurationRevision = state.local.configurationRevision,
        confirmedAgeMilliseconds = configurationAgeMilliseconds(state, now),
        heldFencingNumber = state.local.heldFencingNumber,
        identity = state.identity.takeIf { heartbeat.change == 0L },
    )

    fun isFullStateDue(
        peer: PeerState,
        now: Instant,
    ): Boolean = peer.fullStateSentAt == null || peer.fullStateSentAt.plus(FULL_STATE_INTERVAL) <= now

    private fun baseHeartbeat(
        state: MembershipState,
        now: Instant,
    ): Heartbeat = Heartbeat(
        identity = state.identity,
        change = 0,
        whole = false,
        configurationRevision = state.local.configurationRevision,
        confirmedAgeMilliseconds = configurationAgeMilliseconds(state, now),
        heldFencingNumber = state.local.heldFencingNumber,
        leaving = state.leaving,
    )

    private fun configurationAgeMilliseconds(
        state: MembershipState,
        now: Instant,
    ): Long? = state.local.confirmedAt?.let { Duration.between(it, now).toMillis() }

    /** Decides which gossip items are sent to [peer]. */
    private class RecipientFilter(
        private val state: MembershipState,
        private val peer: PeerState,
    ) {
        private val self = state.identity.daemon
        private val activeDaemons = state.activeDaemons
        private val isSameDomain = state.isInSameDomain(peer)
        private val contacts = RendezvousHash.choose("contacts", activeDaemons, ANNOUNCED_CONTACTS).toSet()

        fun includes(entry: GossipEntry): Boolean =
            if (isSameDomain) includesForDomainPeer(entry) else includesForRemotePeer(entry)

        private fun includesForDomainPeer(entry: GossipEntry): Boolean {
            if (entry.receivedFrom == null || entry.payload is GossipPayload.Member) return true
            val relays = RendezvousHash.choose(entry.payload.subject(), activeDaemons, RELAYS_PER_SUBJECT)
            return self in relays || peer.identity.daemon in relays
        }

        private fun includesForRemotePeer(entry: GossipEntry): Boolean {
            val member = entry.payload as? GossipPayload.Member ?: return true
            return member.identity.failureDomain != state.identity.failureDomain || isContact(member.identity.daemon)
        }

        private fun isContact(daemon: DaemonId): Boolean = daemon in contacts
    }

    companion object {
        /** How often a peer is sent the full state, to recover items that were missed when relays changed. */
        val FULL_STATE_INTERVAL: Duration = Duration.ofSeconds(120)

        /** Number of a failure domain's daemons that are announced to other domains. */
        const val ANNOUNCED_CONTACTS = 3

        private const val RELAYS_PER_SUBJECT = 2
    }
}
