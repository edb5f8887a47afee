/*
 * Detects failure domains that this daemon can't reach: all of its active targets there are stalled and no heartbeat
 * has arrived from the domain for a while. Several stalled targets are required if its daemons have been gone for long.
 *
 * A network partition looks like stalled groups, but no controller inside the failure domain will report them as
 * broken, and new requests to it would only lose time. A message from a daemon inside ends the suspicion, and so does a
 * byte from a target: sound ones may have been silent for a moment. Until then, single requests are sent as trials.
 */
package org.vanillalink.serving.balancing

import org.vanillalink.model.FailureDomainId

/** Targets with requests in flight in one failure domain, and how many of them are stalled. */
data class DomainProgress(
    val activeTargets: Int,
    val stalledTargets: Int,
)

/** Times are milliseconds on the steady clock. Not thread safe. */
class ReachabilityMonitor(
    private val trialSchedule: TrialSchedule,
) {
    private class Trials(
        val since: Long,
        var nextAt: Long,
    )

    private val lastReceivedAt = HashMap<FailureDomainId, Long>()
    private val lastProgressAt = HashMap<FailureDomainId, Long>()
    private val unreachableSince = HashMap<FailureDomainId, Long>()
    private val trials = HashMap<FailureDomainId, Trials>()

    /** Records that a message from a daemon in [failureDomain] has arrived. */
    fun recordDaemonMessage(
        failureDomain: FailureDomainId,
        now: Long,
    ) {
        lastReceivedAt[failureDomain] = now
    }

    /** Records that bytes of a response of a target in [failureDomain] have arrived. */
    fun recordTargetProgress(
        failureDomain: FailureDomainId,
        now: Long,
    ) {
        lastProgressAt[failureDomain] = now
    }

    /** Evaluates the [progress] in each failure domain and returns those that [daemonCount] daemons can't reach. */
    fun findUnreachable(
        progress: Map<FailureDomainId, DomainProgress>,
        now: Long,
        daemonCount: Int = 1,
    ): Set<FailureDomainId> {
        progress.filter { (domain, domainProgress) -> isSuspected(domain, domainProgress, now) }.keys.forEach {
            unreachableSince[it] = now
            trials.getOrPut(it) { Trials(now, trialSchedule.next(now, now, daemonCount)) }
        }
        unreachableSince.entries.removeIf { (domain, since) -> isReachableAgain(domain, since) }
        trials.keys.retainAll(unreachableSince.keys)
        return unreachableSince.keys.toSet()
    }

    /** Whether it is this daemon's turn to send one request to [failureDomain], which is unreachable. */
    fun isTrialDue(
        failureDomain: FailureDomainId,
        isHedgeable: Boolean,
        now: Long,
    ): Boolean {
        val dueAt = trials[failureDomain]?.nextAt ?: return false
        return now >= dueAt + if (isHedgeable) 0 else TrialSchedule.HEDGEABLE_WAIT_MILLISECONDS
    }

    /** Records that a request is sent to [failureDomain]. */
    fun recordSent(
        failureDomain: FailureDomainId,
        now: Long,
        daemonCount: Int,
    ) {
        val current = trials[failureDomain] ?: return
        current.nextAt = trialSchedule.next(current.since, now, daemonCount)
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

    private fun isReachableAgain(
        failureDomain: FailureDomainId,
        since: Long,
    ): Boolean = maxOf(lastReceivedAt[failureDomain] ?: 0, lastProgressAt[failureDomain] ?: 0) > since

    private companion object {
        /** Several heartbeat periods. */
        const val SILENCE_MILLISECONDS = 400L
        const val MIN_STALLED_TARGETS = 2

        /** Beyond this silence, the domain's daemons count as gone, and only its targets are considered. */
        const val LONG_SILENCE_MILLISECONDS = 5_000L
    }
}
