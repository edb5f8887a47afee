/*
 * Divides a target's limit among the daemons, without a message for each request.
 *
 * Each daemon takes a part in proportion to the demand of its callers, which daemons report to each other anyway. So
 * the parts follow the callers when they move, and a daemon without callers leaves its part to the others. Only as many
 * daemons take a part as could each send one request at the same moment without exceeding the target's tolerance: in a
 * large fleet a limit is worth less than one request per second and daemon. Which daemons these are follows from a hash
 * of the target and the daemon, so that all daemons agree on them without messages.
 */
package org.vanillalink.serving.balancing

import org.vanillalink.model.DaemonId
import org.vanillalink.model.HostId
import kotlin.random.Random

/** A daemon's part of a limit. */
data class LimitShare(
    val requestsPerSecond: Double,
    /** How many requests may be sent at once after a pause. */
    val burst: Double,
    /** How many daemons have a part. */
    val holders: Int,
) {
    companion object {
        val NONE = LimitShare(0.0, 0.0, 0)
    }
}

/** The demand at all daemons that may send requests. */
interface DaemonDemand {
    val own: DaemonId

    /** All daemons, including [own]. */
    val daemons: Set<DaemonId>

    /** The demand for [capacity], which is a model or a plain service, by daemon; in any unit that all share. */
    fun demandFor(capacity: String): Map<DaemonId, Double>
}

/** Calculates shares; remembers the holders by target. Not thread safe. */
class LimitSharing {
    private class Holders(
        val maxCount: Int,
        val daemons: Set<DaemonId>,
    )

    private var rankedDaemons: Set<DaemonId> = emptySet()
    private val holdersByTarget = HashMap<HostId, Holders>()

    /** Returns the part of [requestsPerSecond], the limit of [target], that the own daemon has for [capacity]. */
    fun share(
        target: HostId,
        requestsPerSecond: Double,
        capacity: String,
        demand: DaemonDemand,
    ): LimitShare {
        val divisible = requestsPerSecond.coerceIn(TRIAL_REQUESTS_PER_SECOND, MAX_REQUESTS_PER_SECOND)
        val holders = findHolders(target, (divisible + MIN_HOLDERS).toInt(), demand.daemons)
        if (demand.own !in holders) return LimitShare.NONE.copy(holders = holders.size)
        val demands = demand.demandFor(capacity)
        val total = holders.sumOf { demands[it] ?: 0.0 }
        val reserve = if (total > 0) total / holders.size * RESERVED_FRACTION else 1.0
        val fraction = ((demands[demand.own] ?: 0.0) + reserve) / (total + reserve * holders.size)
        return LimitShare(divisible * fraction, maxOf(1.0, (divisible + MIN_HOLDERS) * fraction), holders.size)
    }

    fun retainTargets(targets: Set<HostId>) {
        holdersByTarget.keys.retainAll(targets)
    }

    private fun findHolders(
        target: HostId,
        maxCount: Int,
        daemons: Set<DaemonId>,
    ): Set<DaemonId> {
        if (daemons.size <= maxCount) return daemons
        if (daemons != rankedDaemons) {
            rankedDaemons = daemons
            holdersByTarget.clear()
        }
        holdersByTarget[target]?.takeIf { it.maxCount == maxCount }?.let { return it.daemons }
        val chosen =
            daemons
                .sortedWith(compareBy<DaemonId> { rank(target, it) }.thenBy { it.value })
                .take(maxCount)
                .toSet()
        holdersByTarget[target] = Holders(maxCount, chosen)
        return chosen
    }

    /** A hash by which the order of daemons differs between targets. */
    private fun rank(
        target: HostId,
        daemon: DaemonId,
    ): Int = Random("${target.value}/${daemon.value}".hashCode()).nextInt()

    private companion object {
        /** Shows within seconds whether a target that takes nothing still limits requests. */
        const val TRIAL_REQUESTS_PER_SECOND = 0.25

        /** Far more than any target takes. */
        const val MAX_REQUESTS_PER_SECOND = 1e6

        /** Beside one holder, and a burst of one request, for each request per second. */
        const val MIN_HOLDERS = 3

        /** The part of an average daemon's share that one without callers keeps, for its first ones. */
        const val RESERVED_FRACTION = 0.05
    }
}
