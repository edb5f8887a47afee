/*
 * Counts the requests in flight at each target: those of this daemon, and those that peers last announced.
 *
 * Targets report their load with a delay, and each daemon sees only its own requests. Counts from a peer expire after a
 * short time: a peer that stops sending has either ended, together with its requests, or its counts are unreliable.
 *
 * A peer's counts are as old as its last message. Until then some of its requests have ended, and it has sent about as
 * many new ones, to targets that this daemon doesn't know. So an estimate moves the peer's requests towards an even
 * distribution as its counts grow older, by the time that requests take (see "How useful is old information?",
 * Mitzenmacher, 2000).
 */
package org.vanillalink.serving.balancing

import org.vanillalink.model.DaemonId
import org.vanillalink.model.HostId
import kotlin.math.exp

/** How many requests each of some targets probably has by now. */
data class LoadEstimate(
    val requests: Map<HostId, Double>,
    /** Requests that peers have probably sent to these targets since their last messages. */
    val unseenRequests: Double,
) {
    /** The estimated requests at [target]. */
    fun at(target: HostId): Double = requests[target] ?: 0.0
}

/** Counts by target; times are milliseconds on the steady clock. Not thread safe. */
class InFlightCounts {
    private class PeerCounts(
        val counts: Map<HostId, Int>,
        val receivedAt: Long,
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
        peerCounts[peer] = PeerCounts(counts, now, now + validForMilliseconds)
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

    /** Estimates the requests at [targets], which serve the same; a request takes [requestMilliseconds] on average. */
    fun estimate(
        targets: Set<HostId>,
        requestMilliseconds: Double,
        now: Long,
    ): LoadEstimate {
        val requests = HashMap<HostId, Double>(targets.size * 2)
        targets.forEach { requests[it] = (localCounts[it] ?: 0).toDouble() }
        var unseen = 0.0
        peerCounts.values.forEach { peer ->
            if (now > peer.validUntil) return@forEach
            val remaining = exp(-(now - peer.receivedAt) / maxOf(1.0, requestMilliseconds))
            var sum = 0
            peer.counts.forEach { (target, count) ->
                if (target in targets) {
                    requests.merge(target, count * remaining, Double::plus)
                    sum += count
                }
            }
            unseen += sum * (1 - remaining)
        }
        val share = unseen / maxOf(1, targets.size)
        requests.replaceAll { _, count -> count + share }
        return LoadEstimate(requests, unseen)
    }
}
