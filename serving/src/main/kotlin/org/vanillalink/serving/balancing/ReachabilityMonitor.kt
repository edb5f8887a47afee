/*
 * Notices a failure domain that this daemon can't reach: several of its targets stand still at once and none of the
 * others moves, or one does and no daemon there is heard of either.
 *
 * A cut looks like stalled groups, but no controller inside the failure domain will say so, and new requests there
 * would be lost time. What is heard from inside ends the suspicion.
 */
package org.vanillalink.serving.balancing

import org.vanillalink.model.FailureDomainId

/** What is outstanding in one failure domain: targets with requests under way, and those of them that stand still. */
data class DomainProgress(
    val activeTargets: Int,
    val stalledTargets: Int,
)

/** Times are milliseconds on the steady clock. Not thread safe. */
class ReachabilityMonitor {
    private val lastReceivedAt = HashMap<FailureDomainId, Long>()
    private val unreachableSince = HashMap<FailureDomainId, Long>()

    /** A daemon in [failureDomain] was heard of. */
    fun recordDaemonMessage(
        failureDomain: FailureDomainId,
        now: Long,
    ) {
        lastReceivedAt[failureDomain] = now
    }

    /** Judges each failure domain by its [progress], and gives those that can't be reached. */
    fun findUnreachable(
        progress: Map<FailureDomainId, DomainProgress>,
        now: Long,
    ): Set<FailureDomainId> {
        progress.filter { (domain, domainProgress) -> isSuspected(domain, domainProgress, now) }.keys.forEach {
            unreachableSince[it] =
                now
        }
        unreachableSince.entries.removeIf { (domain, since) -> isExpired(domain, since, now) }
        return unreachableSince.keys.toSet()
    }

    private fun isSuspected(
        failureDomain: FailureDomainId,
        progress: DomainProgress,
        now: Long,
    ): Boolean {
        if (progress.stalledTargets == 0 || progress.stalledTargets < progress.activeTargets) return false
        val lastReceived = lastReceivedAt[failureDomain]
        val silence = if (lastReceived == null) Long.MAX_VALUE else now - lastReceived
        if (silence <= SILENCE_MILLISECONDS) return false
        return silence < LONG_SILENCE_MILLISECONDS || progress.stalledTargets >= MIN_STALLED_TARGETS
    }

    private fun isExpired(
        failureDomain: FailureDomainId,
        since: Long,
        now: Long,
    ): Boolean {
        val lastReceived = lastReceivedAt[failureDomain] ?: 0
        return lastReceived > since || now - since > RETENTION_MILLISECONDS
    }

    private companion object {
        /** Several heartbeats. */
        const val SILENCE_MILLISECONDS = 400L
        const val MIN_STALLED_TARGETS = 2

        /** A failure domain whose daemons have been gone for longer is judged by its targets alone. */
        const val LONG_SILENCE_MILLISECONDS = 5_000L

        /** Without a word from inside, a request is tried there again after this. */
        const val RETENTION_MILLISECONDS = 3_000L
    }
}
