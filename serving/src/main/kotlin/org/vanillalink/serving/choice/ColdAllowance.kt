/*
 * Bounds what this daemon sends to a cold target. Daemons share the bound evenly without talking to each other, so it
 * holds summed over all of them also while they are cut off.
 */
package org.vanillalink.serving.choice

import org.vanillalink.model.HostId

/** Requests sent to each target within the last second. Not thread safe. */
class ColdAllowance {
    private val sent = HashMap<HostId, ArrayDeque<Long>>()

    /** Whether one more request may go to [target] at [now] if [perSecond] are shared by [daemons]. */
    fun admits(
        target: HostId,
        now: Long,
        perSecond: Double,
        daemons: Int,
    ): Boolean {
        val recent = sent[target] ?: return true
        forget(recent, now)
        return recent.size < maxOf(1.0, perSecond / maxOf(daemons, 1))
    }

    /** A request was sent to [target]. */
    fun sent(
        target: HostId,
        now: Long,
    ) {
        val recent = sent.getOrPut(target) { ArrayDeque() }
        recent.addLast(now)
        forget(recent, now)
    }

    /** Forgets targets other than [targets]. */
    fun keep(targets: Set<HostId>) {
        sent.keys.retainAll(targets)
    }

    private fun forget(
        recent: ArrayDeque<Long>,
        now: Long,
    ) {
        while (recent.isNotEmpty() && recent.first() <= now - WINDOW_MILLISECONDS) recent.removeFirst()
    }

    private companion object {
        const val WINDOW_MILLISECONDS = 1_000L
    }
}
