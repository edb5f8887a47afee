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
    var present = true
    val prefixes = PrefixSet(candidate.boot)
    private val running = HashMap<AttemptKey, Instant>()
    private val ended = ArrayDeque<Pair<Instant, Instant>>()

    /** When an attempt couldn't reach it, or was turned away, for the last time. */
    private var unreachedAt: Instant? = null

    /** Change of the load since the report, by own attempts. */
    private var ownChange = 0

    val inUse: Int get() = running.size

    val limit: Int get() = minOf(candidate.capacity, candidate.admissionUnits ?: candidate.capacity)

    /** Whether one more attempt may start here. */
    val hasRoom: Boolean get() = inUse < limit && estimatedLoad < candidate.capacity && !isUnreached

    /** Whether it took nothing of an attempt and has given no report since. */
    private val isUnreached: Boolean
        get() {
            val unreached = unreachedAt ?: return false
            return candidate.load?.let { it.reportedAt <= unreached } ?: false
        }

    /** Requests at the target from all daemons. */
    val estimatedLoad: Int
        get() {
            val load = candidate.load ?: return inUse
            return maxOf(inUse, load.running + load.queued + ownChange)
        }

    /** The greater of the target's and this daemon's part in use, as it would be with one more attempt. */
    val utilisationWithOneMore: Double
        get() = maxOf((estimatedLoad + 1.0) / candidate.capacity, (inUse + 1.0) / limit)

    fun update(newer: TargetCandidate) {
        candidate = newer.copy(load = latest(newer.load, candidate.load))
        present = true
        val reportedAt = candidate.load?.reportedAt ?: return
        while (ended.isNotEmpty() && ended.first().second <= reportedAt) ended.removeFirst()
        val startedSince = running.values.count { it > reportedAt }
        ownChange = startedSince - ended.count { it.first <= reportedAt }
    }

    /** Reports may overtake each other. */
    private fun latest(
        newer: ReportedLoad?,
        known: ReportedLoad?,
    ): ReportedLoad? {
        if (newer == null || known == null) return newer ?: known
        return if (newer.reportedAt < known.reportedAt) known else newer
    }

    fun started(
        key: AttemptKey,
        now: Instant,
    ) {
        running[key] = now
        ownChange += 1
    }

    /** An attempt sent at [at] certainly didn't run here. */
    fun unreached(at: Instant) {
        unreachedAt = at
    }

    fun ended(
        key: AttemptKey,
        now: Instant,
    ) {
        val startedAt = running.remove(key) ?: return
        ended.addLast(startedAt to now)
        if (ended.size > ENDED_REMEMBERED) ended.removeFirst()
        ownChange -= 1
    }

    private companion object {
        const val ENDED_REMEMBERED = 256
    }
}

/** Another failure domain's daemon and what was passed to it since its report. */
internal class RemoteEntry(
    var capacity: RemoteCapacity,
) {
    private var sentSinceReport = 0
    private var refused = false

    fun update(newer: RemoteCapacity) {
        if (newer.reportedAt <= capacity.reportedAt) return
        capacity = newer
        sentSinceReport = 0
        refused = false
    }

    fun sent() {
        sentSinceReport += 1
    }

    /** It refused a request: it has nothing free until it reports again. */
    fun refused() {
        refused = true
    }

    /** How many more requests fit, when only [part] (0.0 to 1.0) of what is free may be used. */
    fun remaining(
        now: Instant,
        fresh: Duration,
        part: Double,
    ): Int {
        if (refused || capacity.freeRequests <= 0 || capacity.queueLength > 0) return 0
        if (Duration.between(capacity.reportedAt, now) > fresh) return 0
        val usable = maxOf(1, (capacity.freeRequests * PART_FOR_THIS_DAEMON * part).toInt())
        return maxOf(0, usable - sentSinceReport)
    }

    private companion object {
        /** Other daemons read the same report and send too. */
        const val PART_FOR_THIS_DAEMON = 0.5
    }
}
