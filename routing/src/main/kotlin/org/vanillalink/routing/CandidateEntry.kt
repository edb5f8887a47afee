/*
 * A target's load as this daemon estimates it: the lagging report, corrected by the daemon's own attempts since.
 */
package org.vanillalink.routing

import java.time.Duration
import java.time.Instant

/** One boot of one candidate. It is kept after its removal while own attempts run there. */
internal class CandidateEntry(
    var candidate: TargetCandidate,
) {
    var isListed = true
    val cachedPrefixes = CachedPrefixes(candidate.boot)
    private val runningAttempts = HashMap<AttemptKey, Instant>()
    private val endedAttempts = ArrayDeque<Pair<Instant, Instant>>()

    /** When an attempt couldn't reach it, or was turned away, for the last time. */
    private var lastUnreachableAt: Instant? = null

    /** Change of the load since the report, by own attempts. */
    private var ownLoadChange = 0

    val unitsInUse: Int get() = runningAttempts.size

    val unitLimit: Int get() = minOf(candidate.capacity, candidate.admissionUnits ?: candidate.capacity)

    /** Whether one more attempt may start here. */
    val hasCapacity: Boolean get() = unitsInUse < unitLimit && estimatedLoad < candidate.capacity && !isUnreachable

    /** Whether it took nothing of an attempt and has given no report since. */
    private val isUnreachable: Boolean
        get() {
            val failedAt = lastUnreachableAt ?: return false
            return candidate.load?.let { it.reportedAt <= failedAt } ?: false
        }

    /** Requests at the target from all daemons. */
    val estimatedLoad: Int
        get() {
            val load = candidate.load ?: return unitsInUse
            return maxOf(unitsInUse, load.running + load.queued + ownLoadChange)
        }

    /** The greater of the target's and this daemon's part in use, as it would be with one more attempt. */
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

    /** Reports may overtake each other. */
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

    /** An attempt sent at [at] certainly didn't run here. */
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

/** Another failure domain's daemon and what was passed to it since its report. */
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

    /** It refused a request: it has nothing free until it reports again. */
    fun recordRefusal() {
        hasRefused = true
    }

    /** How many more requests fit, when only [part] (0.0 to 1.0) of what is free may be used. */
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
        /** Other daemons read the same report and send too. */
        const val USABLE_FRACTION = 0.5
    }
}
