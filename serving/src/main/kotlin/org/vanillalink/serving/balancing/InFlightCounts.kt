/*
 * How many requests are under way at each target: this daemon's own, and what peers last told of theirs.
 *
 * Targets report their load late, and each daemon sees only its own share. Counts from peers are believed for a short
 * time; a daemon that falls silent has either ended, and its requests with it, or can't be counted on.
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

    /** A request was sent to [target]. */
    fun recordStart(target: HostId) {
        localCounts.merge(target, 1, Int::plus)
    }

    /** A request at [target] has ended. */
    fun recordEnd(target: HostId) {
        localCounts.computeIfPresent(target) { _, count -> if (count <= 1) null else count - 1 }
    }

    /** [peer] told of its requests; that is believed for [validForMilliseconds] milliseconds. */
    fun recordPeerCounts(
        peer: DaemonId,
        counts: Map<HostId, Int>,
        now: Long,
        validForMilliseconds: Long,
    ) {
        peerCounts[peer] = PeerCounts(counts, now + validForMilliseconds)
    }

    /** This daemon's own counts. */
    fun localCounts(): Map<HostId, Int> = HashMap(localCounts)

    /** All known requests at [target]. */
    fun total(
        target: HostId,
        now: Long,
    ): Int {
        var sum = localCounts[target] ?: 0
        peerCounts.values.forEach { if (now <= it.validUntil) sum += it.counts[target] ?: 0 }
        return sum
    }
}
