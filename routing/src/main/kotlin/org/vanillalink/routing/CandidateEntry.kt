/*
 * This daemon's estimate of a target's load: the last report, which lags, corrected by the attempts that this daemon
 * has started and ended since.
 */
package org.vanillalink.routing

import java.time.Duration
import java.time.Instant

/** One boot of one candidate. An entry that is no longer listed is retained while this daemon's attempts run there. */
internal class CandidateEntry(
    var candidate: TargetCandidate,
) {
    var isListed = true
    val cachedPrefixes = CachedPrefixes(candidate.boot)
    private val runningAttempts = HashMap<AttemptKey, Instant>()
    private val endedAttempts = ArrayDeque<Pair<Instant, Instant>>()

    /** Time of the last failed attempt that certainly did not run at the target, unreachable or rejected. */
    private var lastUnreachableAt: Instant? = null

    /** Change of the load since the report, by this daemon's attempts. */
    private var ownLoadChange = 0

    val unitsInUse: Int get() = runningAttempts.size

    val unitLimit: Int get() = minOf(candidate.capacity, candidate.admissionUnits ?: candidate.capacity)

    /** Whether another attempt may start at this target. */
    val hasCapacity: Boolean get() = unitsInUse < unitLimit && estimatedLoad < candidate.capacity && !isUnreachable

    /** Whether an attempt certainly did not run at the target and no newer report has arrived since. */
    private val isUnreachable: Boolean
        get() {
            val failedAt = lastUnreachableAt ?: return false
            return candidate.load?.let { it.reportedAt <= failedAt } ?: false
        }

    /** Estimated number of requests at the target, from all daemons. */
    val estimatedLoad: Int
        get() {
            val load = candidate.load ?: return unitsInUse
            return maxOf(unitsInUse, load.running + load.queued + ownLoadChange)
        }

    /** Utilisation after one more attempt: the greater of the target's and that of this daemon's units. */
    val utilisationWithNextAttempt: Double
        get() = maxOf((estimatedLoad + 1.0) / candidate.capacity, (unitsInUse + 1.0) / unitLimit)

    fun update(newer: TargetCandidate) {
        candidate = newer.copy(load = newest(newer.load, candidate.load))
        isListed = true
        val reportedAt = candidate.load?.reportedAt ?: return
        while (endedAttempts.isNotEmpty() && endedAttempts.first().second <= reportedAt) endedAttempts.removeFirst()
        val startedSince = runningAttempts.values.count { it > reportedAt }
        ownLoadChange = startedSince - endedAttempts.count { it.first <= reportedAt }
    }

    /** Returns the newer load, because reports may arrive out of order. */
    private fun newest(
        newer: ReportedLoad?,
        existing: ReportedLoad?,
    ): ReportedLoad? {
        if (newer == null || existing == null) return newer ?: existing
        return if (newer.reportedAt < existing.reportedAt) existing else newer
    }

    fun recordStart(
        key: AttemptKey,
        now: Instant,
    ) {
        runningAttempts[key] = now
        ownLoadChange += 1
    }

    /** Records that an attempt, whose failure was reported at [failedAt], certainly did not run at the target. */
    fun markUnreachable(failedAt: Instant) {
        lastUnreachableAt = failedAt
    }

    fun recordEnd(
        key: AttemptKey,
        now: Instant,
    ) {
        val startedAt = runningAttempts.remove(key) ?: return
        endedAttempts.addLast(startedAt to now)
        if (endedAttempts.size > MAX_ENDED_ATTEMPTS) endedAttempts.removeFirst()
        ownLoadChange -= 1
    }

    private companion object {
        const val MAX_ENDED_ATTEMPTS = 256
    }
}

/** A daemon of another failure domain and the number of requests forwarded to it since its last report. */
internal class RemoteDaemonEntry(
    var capacity: RemoteCapacity,
) {
    private var forwardedSinceReport = 0
    private var hasRefused = false

    fun update(newer: RemoteCapacity) {
        if (newer.reportedAt <= capacity.reportedAt) return
        capacity = newer
        forwardedSinceReport = 0
        hasRefused = false
    }

    fun recordForward() {
        forwardedSinceReport += 1
    }

    /** Records that the daemon refused a request; it counts as having no free capacity until its next report. */
    fun recordRefusal() {
        hasRefused = true
    }

    /** Returns how many more requests may be forwarded if only [fraction] (0.0 to 1.0) of the free ones may be used. */
    fun remainingRequests(
        now: Instant,
        freshness: Duration,
        fraction: Double,
    ): Int {
        if (hasRefused || capacity.freeRequests <= 0 || capacity.queueLength > 0) return 0
        if (Duration.between(capacity.reportedAt, now) > freshness) return 0
        val usableRequests = maxOf(1, (capacity.freeRequests * USABLE_FRACTION * fraction).toInt())
        return maxOf(0, usableRequests - forwardedSinceReport)
    }

    private companion object {
        /** Less than 1, because other daemons forward requests by the same report. */
        const val USABLE_FRACTION = 0.5
    }
}
