/*
 * Chooses what a heartbeat to one peer carries.
 *
 * Within a failure domain a piece is passed on by its author, and otherwise only by or to the two daemons that relay
 * its subject, so that a daemon gets a piece about twice and not once from each peer. Between failure domains all that
 * the contact lacks is passed on, but of a domain's daemons only a few contacts.
 */
package org.vanillalink.membership

import org.vanillalink.model.DaemonId
import java.time.Duration
import java.time.Instant

internal class HeartbeatComposer {
    fun toPeer(
        state: MembershipState,
        peer: PeerState,
        now: Instant,
    ): Heartbeat {
        val whole = isWholeDue(peer, now)
        val after = if (whole) 0 else peer.acknowledgedChange
        val fresh =
            state.gossip.entries.values
                .filter { it.change > after && it.from != peer.identity.daemon }
        val audience = Audience(state, peer)
        val items = fresh.filter { audience.gets(it) }.map { it.item(now) }
        return base(state, now).copy(change = state.gossip.change, whole = whole, items = items)
    }

    /** A first message to an endpoint of which nothing is known. */
    fun toSeed(
        state: MembershipState,
        now: Instant,
    ): Heartbeat = base(state, now)

    fun answer(
        state: MembershipState,
        heartbeat: Heartbeat,
        now: Instant,
    ): HeartbeatAnswer = HeartbeatAnswer(
        daemon = state.identity.daemon,
        boot = state.identity.boot,
        change = heartbeat.change,
        configurationRevision = state.local.configurationRevision,
        confirmedAgeMilliseconds = confirmedAge(state, now),
        heldFencingNumber = state.local.heldFencingNumber,
        identity = state.identity.takeIf { heartbeat.change == 0L },
    )

    fun isWholeDue(
        peer: PeerState,
        now: Instant,
    ): Boolean = peer.restatedAt == null || peer.restatedAt.plus(WHOLE_INTERVAL) <= now

    private fun base(
        state: MembershipState,
        now: Instant,
    ): Heartbeat = Heartbeat(
        identity = state.identity,
        change = 0,
        whole = false,
        configurationRevision = state.local.configurationRevision,
        confirmedAgeMilliseconds = confirmedAge(state, now),
        heldFencingNumber = state.local.heldFencingNumber,
        leaving = state.leaving,
    )

    private fun confirmedAge(
        state: MembershipState,
        now: Instant,
    ): Long? = state.local.confirmedAt?.let { Duration.between(it, now).toMillis() }

    /** Which pieces [peer] gets. */
    private class Audience(
        private val state: MembershipState,
        private val peer: PeerState,
    ) {
        private val self = state.identity.daemon
        private val activeDaemons = state.activeDaemons
        private val near = state.isNear(peer)
        private val contacts = Rendezvous.choose("contacts", activeDaemons, CONTACTS_TOLD).toSet()

        fun gets(entry: GossipEntry): Boolean = if (near) nearGets(entry) else farGets(entry)

        private fun nearGets(entry: GossipEntry): Boolean {
            if (entry.from == null || entry.payload is GossipPayload.Member) return true
            val relays = Rendezvous.choose(entry.payload.subject(), activeDaemons, RELAYS)
            return self in relays || peer.identity.daemon in relays
        }

        private fun farGets(entry: GossipEntry): Boolean {
            val member = entry.payload as? GossipPayload.Member ?: return true
            return member.identity.failureDomain != state.identity.failureDomain || isContact(member.identity.daemon)
        }

        private fun isContact(daemon: DaemonId): Boolean = daemon in contacts
    }

    companion object {
        /** How often a peer is sent everything, to make up for relays that changed. */
        val WHOLE_INTERVAL: Duration = Duration.ofSeconds(120)

        /** Daemons of a failure domain that other domains hear of. */
        const val CONTACTS_TOLD = 3

        private const val RELAYS = 2
    }
}
