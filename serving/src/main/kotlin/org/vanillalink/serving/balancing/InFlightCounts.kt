/*
 * Counts the requests in flight at each target: those of this daemon, and those that peers last announced.
 *
 * Targets report their load with a delay, and each daemon sees only its own requests. Counts from a peer expire after a
 * short time: a peer that stops sending has either ended, together with its requests, or its counts are unreliable.
 */
package org.vanillalink.serving.balancing

import org.vanillalink.model.DaemonId
import org.vanillalink.model.HostId

/** Counts by target; times are milliseconds on the steady clock. Not thread safe. */
class InFlightCounts {
    private class PeerCounts(
        val counts: Map<HostId, Int>,
        val validUntil: Long,
    )

    private val localCounts = HashMap<HostId, Int>()
    private val peerCounts = HashMap<DaemonId, PeerCounts>()

    fun recordStart(target: HostId) {
        localCounts.merge(target, 1, Int::plus)
    }

    fun recordEnd(target: HostId) {
        localCounts.computeIfPresent(target) { _, count -> if (count <= 1) null else count - 1 }
    }

    /** Replaces the counts of [peer]; they are used until [validForMilliseconds] after [now]. */
    fun recordPeerCounts(
        peer: DaemonId,
        counts: Map<HostId, Int>,
        now: Long,
        validForMilliseconds: Long,
    ) {
        peerCounts[peer] = PeerCounts(counts, now + validForMilliseconds)
    }

    /** A copy of this daemon's own counts. */
    fun localCounts(): Map<HostId, Int> = HashMap(localCounts)

    /** Requests in flight at [target], of this daemon and of all peers whose counts are still valid. */
    fun total(
        target: HostId,
        now: Long,
    ): Int {
        var sum = localCounts[target] ?: 0
        peerCounts.values.forEach { if (now <= it.validUntil) sum += it.counts[target] ?: 0 }
        return sum
    }
}
