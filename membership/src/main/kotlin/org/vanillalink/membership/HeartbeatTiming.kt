/*
 * How often heartbeats go out and when a peer counts as lost.
 *
 * A daemon sends a bounded number of heartbeats a second, so the interval grows with its failure domain; what tells a
 * lost peer is measured in intervals.
 */
package org.vanillalink.membership

import java.time.Duration
import java.time.Instant

internal object HeartbeatTiming {
    /** Heartbeats a second to the failure domain's own daemons, at most. */
    private const val MAX_HEARTBEATS_PER_SECOND = 6

    private val MIN_INTERVAL = Duration.ofSeconds(1)
    private const val SUSPECTED_AFTER_INTERVALS = 3L
    private const val SILENT_AFTER_INTERVALS = 6L

    /** How often a silent peer is tried. */
    val SILENT_PEER_RETRY_INTERVAL: Duration = Duration.ofSeconds(10)

    /** How often seeds that are not known peers are tried. */
    val SEED_RETRY_INTERVAL: Duration = Duration.ofSeconds(5)

    /** A silent or leaving peer is forgotten after this time. */
    val ABSENT_PEER_RETENTION: Duration = Duration.ofMinutes(10)

    /** Failure domains that a daemon contacts in each interval. */
    const val REMOTE_DOMAINS_PER_INTERVAL = 2

    fun interval(state: MembershipState): Duration {
        val peerCount = state.peers.values.count { state.isInSameDomain(it) && isActive(it) }
        val spaced =
            Duration.ofSeconds(1).multipliedBy(peerCount.toLong()).dividedBy(MAX_HEARTBEATS_PER_SECOND.toLong())
        return maxOf(MIN_INTERVAL, spaced)
    }

    /** The status that [peer] has by the time since it was heard. */
    fun currentStatus(
        state: MembershipState,
        peer: PeerState,
        interval: Duration,
        now: Instant,
    ): PeerStatus {
        if (!isActive(peer)) return peer.status
        val expected = if (state.isInSameDomain(peer)) interval else interval.multipliedBy(intervalsPerRound(state))
        val sinceLastReceived = Duration.between(peer.lastReceivedAt, now)
        if (sinceLastReceived > expected.multipliedBy(SILENT_AFTER_INTERVALS)) return PeerStatus.SILENT
        if (sinceLastReceived > expected.multipliedBy(SUSPECTED_AFTER_INTERVALS)) return PeerStatus.SUSPECTED
        return peer.status
    }

    private fun isActive(peer: PeerState): Boolean =
        peer.status == PeerStatus.ALIVE || peer.status == PeerStatus.SUSPECTED

    private fun intervalsPerRound(state: MembershipState): Long {
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
