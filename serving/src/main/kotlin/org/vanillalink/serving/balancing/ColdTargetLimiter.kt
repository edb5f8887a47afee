/*
 * Limits the rate of requests that this daemon sends to a cold target. Each daemon uses an equal share of the limit
 * without coordination, so the total over all daemons stays within it even during a network partition.
 */
package org.vanillalink.serving.balancing

import org.vanillalink.model.HostId

/** Sliding-window rate limiter per target, with a window of one second. Not thread safe. */
class ColdTargetLimiter {
    private val sentAtByTarget = HashMap<HostId, ArrayDeque<Long>>()

    /** Whether this daemon may send another request to [target] if [daemonCount] daemons share [requestsPerSecond]. */
    fun isAllowed(
        target: HostId,
        now: Long,
        requestsPerSecond: Double,
        daemonCount: Int,
    ): Boolean {
        val sentAt = sentAtByTarget[target] ?: return true
        removeExpired(sentAt, now)
        return sentAt.size < maxOf(1.0, requestsPerSecond / maxOf(daemonCount, 1))
    }

    fun recordSent(
        target: HostId,
        now: Long,
    ) {
        val sentAt = sentAtByTarget.getOrPut(target) { ArrayDeque() }
        sentAt.addLast(now)
        removeExpired(sentAt, now)
    }

    /** How many requests this daemon has sent to [target] within the last second. */
    fun sentWithinWindow(
        target: HostId,
        now: Long,
    ): Int {
        val sentAt = sentAtByTarget[target] ?: return 0
        removeExpired(sentAt, now)
        return sentAt.size
    }

    /** Drops the state of all targets other than [targets]. */
    fun retainTargets(targets: Set<HostId>) {
        sentAtByTarget.keys.retainAll(targets)
    }

    private fun removeExpired(
        sentAt: ArrayDeque<Long>,
        now: Long,
    ) {
        while (sentAt.isNotEmpty() && sentAt.first() <= now - WINDOW_MILLISECONDS) sentAt.removeFirst()
    }

    private companion object {
        const val WINDOW_MILLISECONDS = 1_000L
    }
}
