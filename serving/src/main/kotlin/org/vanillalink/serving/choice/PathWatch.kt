/*
 * Notices a failure domain that this daemon can't reach: several of its targets stand still at once and none of the
 * others moves, or one does and no daemon there is heard of either.
 *
 * A cut looks like stalled groups, but no controller inside the failure domain will say so, and new requests there
 * would be lost time. What is heard from inside ends the suspicion.
 */
package org.vanillalink.serving.choice

import org.vanillalink.model.FailureDomainId

/** What is outstanding in one failure domain: targets with requests under way, and those of them that stand still. */
data class OutstandingWork(
    val targets: Int,
    val stalled: Int,
)

/** Times are milliseconds on the steady clock. Not thread safe. */
class PathWatch {
    private val heardAt = HashMap<FailureDomainId, Long>()
    private val cutSince = HashMap<FailureDomainId, Long>()

    /** A daemon in [failureDomain] was heard of. */
    fun heard(
        failureDomain: FailureDomainId,
        now: Long,
    ) {
        heardAt[failureDomain] = now
    }

    /** Judges each failure domain by its [work], and gives those that can't be reached. */
    fun unreachable(
        work: Map<FailureDomainId, OutstandingWork>,
        now: Long,
    ): Set<FailureDomainId> {
        work.filter { (domain, outstanding) -> looksCut(domain, outstanding, now) }.keys.forEach { cutSince[it] = now }
        cutSince.entries.removeIf { (domain, since) -> isOver(domain, since, now) }
        return cutSince.keys.toSet()
    }

    private fun looksCut(
        failureDomain: FailureDomainId,
        work: OutstandingWork,
        now: Long,
    ): Boolean {
        if (work.stalled == 0 || work.stalled < work.targets) return false
        val heard = heardAt[failureDomain]
        val quietFor = if (heard == null) Long.MAX_VALUE else now - heard
        if (quietFor <= QUIET_MILLISECONDS) return false
        return quietFor < LONG_QUIET_MILLISECONDS || work.stalled >= STALLED_TARGETS
    }

    private fun isOver(
        failureDomain: FailureDomainId,
        since: Long,
        now: Long,
    ): Boolean {
        val heard = heardAt[failureDomain] ?: 0
        return heard > since || now - since > REMEMBERED_MILLISECONDS
    }

    private companion object {
        /** Several heartbeats. */
        const val QUIET_MILLISECONDS = 400L
        const val STALLED_TARGETS = 2

        /** A failure domain whose daemons have been gone for longer is judged by its targets alone. */
        const val LONG_QUIET_MILLISECONDS = 5_000L

        /** Without a word from inside, a request is tried there again after this. */
        const val REMEMBERED_MILLISECONDS = 3_000L
    }
}
