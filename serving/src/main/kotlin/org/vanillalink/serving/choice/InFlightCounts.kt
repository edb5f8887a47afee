/*
 * How many requests are under way at each target: this daemon's own, and what peers last told of theirs.
 *
 * Targets report their load late, and each daemon sees only its own share. Counts from peers are believed for a short
 * time; a daemon that falls silent has either ended, and its requests with it, or can't be counted on.
 */
package org.vanillalink.serving.choice

import org.vanillalink.model.DaemonId
import org.vanillalink.model.HostId

/** Counts by target; times are milliseconds on the steady clock. Not thread safe. */
class InFlightCounts {
    private class PeerCounts(
        val counts: Map<HostId, Int>,
        val until: Long,
    )

    private val own = HashMap<HostId, Int>()
    private val peers = HashMap<DaemonId, PeerCounts>()

    /** A request was sent to [target]. */
    fun begun(target: HostId) {
        own.merge(target, 1, Int::plus)
    }

    /** A request at [target] has ended. */
    fun ended(target: HostId) {
        own.computeIfPresent(target) { _, count -> if (count <= 1) null else count - 1 }
    }

    /** [peer] told of its requests; that is believed for [validFor] milliseconds. */
    fun heard(
        peer: DaemonId,
        counts: Map<HostId, Int>,
        now: Long,
        validFor: Long,
    ) {
        peers[peer] = PeerCounts(counts, now + validFor)
    }

    /** This daemon's own counts. */
    fun own(): Map<HostId, Int> = HashMap(own)

    /** All known requests at [target]. */
    fun at(
        target: HostId,
        now: Long,
    ): Int {
        var total = own[target] ?: 0
        peers.values.forEach { if (now <= it.until) total += it.counts[target] ?: 0 }
        return total
    }
}
