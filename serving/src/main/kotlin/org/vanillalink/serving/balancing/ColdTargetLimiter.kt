/*
 * Bounds what this daemon sends to a cold target. Daemons share the bound evenly without talking to each other, so it
 * holds summed over all of them also while they are cut off.
 */
package org.vanillalink.serving.balancing

import org.vanillalink.model.HostId

/** Requests sent to each target within the last second. Not thread safe. */
class ColdTargetLimiter {
    private val sentAtByTarget = HashMap<HostId, ArrayDeque<Long>>()

    /** Whether one more request may go to [target] at [now] if [requestsPerSecond] are shared by [daemonCount]. */
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

    /** A request was sent to [target]. */
    fun recordSent(
        target: HostId,
        now: Long,
    ) {
        val sentAt = sentAtByTarget.getOrPut(target) { ArrayDeque() }
        sentAt.addLast(now)
        removeExpired(sentAt, now)
    }

    /** Forgets targets other than [targets]. */
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
