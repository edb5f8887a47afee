/*
 * Heartbeat intervals and failure detection time-outs.
 *
 * A daemon sends a bounded number of heartbeats per second, so the interval grows with the size of its failure domain.
 * The time-outs after which a peer is suspected or silent are multiples of that interval.
 */
package org.vanillalink.membership

import java.time.Duration
import java.time.Instant

internal object HeartbeatTiming {
    /** Maximum rate of heartbeats to the daemons of the own failure domain. */
    private const val MAX_HEARTBEATS_PER_SECOND = 6

    private val MIN_INTERVAL = Duration.ofSeconds(1)
    private const val SUSPECTED_AFTER_INTERVALS = 3L
    private const val SILENT_AFTER_INTERVALS = 6L

    /** How often a heartbeat is sent to a silent peer. */
    val SILENT_PEER_RETRY_INTERVAL: Duration = Duration.ofSeconds(10)

    /** How often a heartbeat is sent to seeds that are not known peers. */
    val SEED_RETRY_INTERVAL: Duration = Duration.ofSeconds(5)

    /** A silent or leaving peer is removed when its last message is this old. */
    val ABSENT_PEER_RETENTION: Duration = Duration.ofMinutes(10)

    /** Number of remote failure domains that a daemon contacts in each interval. */
    const val REMOTE_DOMAINS_PER_INTERVAL = 2

    fun interval(state: MembershipState): Duration {
        val peerCount = state.peers.values.count { state.isInSameDomain(it) && isActive(it) }
        val spaced =
            Duration.ofSeconds(1).multipliedBy(peerCount.toLong()).dividedBy(MAX_HEARTBEATS_PER_SECOND.toLong())
        return maxOf(MIN_INTERVAL, spaced)
    }

    /** Returns the status of [peer] by the time since its last message. */
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

    /** Returns the remote failure domains of which at least one daemon is known. */
    fun remoteDomains(state: MembershipState) = state.peers.values
        .map { it.identity.failureDomain }
        .filter { it != state.identity.failureDomain }
        .distinct()
        .sorted()
}
