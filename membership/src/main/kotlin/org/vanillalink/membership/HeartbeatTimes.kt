/*
 * How often heartbeats go out and when a peer counts as lost.
 *
 * A daemon sends a bounded number of heartbeats a second, so the interval grows with its failure domain; what tells a
 * lost peer is measured in intervals.
 */
package org.vanillalink.membership

import java.time.Duration
import java.time.Instant

internal object HeartbeatTimes {
    /** Heartbeats a second to the failure domain's own daemons, at most. */
    private const val HEARTBEATS_PER_SECOND = 6

    private val SHORTEST_INTERVAL = Duration.ofSeconds(1)
    private const val SUSPECTED_AFTER_INTERVALS = 3L
    private const val SILENT_AFTER_INTERVALS = 6L

    /** How often a silent peer is tried. */
    val SILENT_RETRY: Duration = Duration.ofSeconds(10)

    /** How often seeds that are not known peers are tried. */
    val SEED_RETRY: Duration = Duration.ofSeconds(5)

    /** A silent or leaving peer is forgotten after this time. */
    val FORGOTTEN_AFTER: Duration = Duration.ofMinutes(10)

    /** Failure domains that a daemon contacts in each interval. */
    const val REMOTE_DOMAINS_PER_INTERVAL = 2

    fun interval(state: MembershipState): Duration {
        val near = state.peers.values.count { state.isNear(it) && isExpected(it) }
        val spread = Duration.ofSeconds(1).multipliedBy(near.toLong()).dividedBy(HEARTBEATS_PER_SECOND.toLong())
        return maxOf(SHORTEST_INTERVAL, spread)
    }

    /** The status that [peer] has by the time since it was heard. */
    fun statusAt(
        state: MembershipState,
        peer: PeerState,
        interval: Duration,
        now: Instant,
    ): PeerStatus {
        if (!isExpected(peer)) return peer.status
        val expected = if (state.isNear(peer)) interval else interval.multipliedBy(remoteRounds(state))
        val unheard = Duration.between(peer.lastReceivedAt, now)
        if (unheard > expected.multipliedBy(SILENT_AFTER_INTERVALS)) return PeerStatus.SILENT
        if (unheard > expected.multipliedBy(SUSPECTED_AFTER_INTERVALS)) return PeerStatus.SUSPECTED
        return peer.status
    }

    private fun isExpected(peer: PeerState): Boolean =
        peer.status == PeerStatus.ALIVE || peer.status == PeerStatus.SUSPECTED

    private fun remoteRounds(state: MembershipState): Long {
        val domains = remoteDomains(state).size
        return 1L + domains / REMOTE_DOMAINS_PER_INTERVAL
    }

    /** The other failure domains of which a daemon is known. */
    fun remoteDomains(state: MembershipState) = state.peers.values
        .map { it.identity.failureDomain }
        .filter { it != state.identity.failureDomain }
        .distinct()
        .sorted()
}
