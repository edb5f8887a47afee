/*
 * Tracks which targets limit the requests per second that they take from all daemons together.
 *
 * A target names its limit in its answers, and the limit holds for as long as it does. Answers arrive out of order, so
 * an answer without a limit ends one only if its request was sent after the limit was last named. What peers report
 * carries its age, and the latest observation applies, whoever made it. A limit concerns one instance of the target.
 */
package org.vanillalink.serving.balancing

import org.vanillalink.model.HostId
import org.vanillalink.serving.targets.TargetInstance
import kotlin.math.abs

/** What a daemon reports to its peers about the limit of [target]. */
data class ReportedLimit(
    val target: TargetInstance,
    /** Requests per second from all daemons together, or null if the target no longer names a limit. */
    val requestsPerSecond: Double?,
    /** Milliseconds since the target's answer was received. */
    val age: Long,
)

/** What is logged about limits. */
sealed interface LimitEvent {
    val target: TargetInstance

    /** A limit that began, ended or changed by more than a tenth; limits are null where there is none. */
    data class Changed(
        override val target: TargetInstance,
        val requestsPerSecond: Double?,
        val previousRequestsPerSecond: Double?,
        val isReportedByPeer: Boolean,
        /** When the limit was first observed, in milliseconds on the steady clock. */
        val limitedSince: Long,
    ) : LimitEvent

    /** The target named [text], which is not a decimal number; what was known before holds. */
    data class Unreadable(
        override val target: TargetInstance,
        val text: String,
    ) : LimitEvent
}

/** Times are milliseconds on the steady clock. Not thread safe. */
class TargetLimits {
    private class Observation(
        val target: TargetInstance,
        val requestsPerSecond: Double?,
        val observedAt: Long,
        val isOwn: Boolean,
        val limitedSince: Long,
        /** The limit as last logged and reported. */
        val announcedRequestsPerSecond: Double?,
    )

    private val observations = HashMap<HostId, Observation>()
    private val unreadableLoggedAt = RecentTimes<HostId>(MAX_TARGETS)
    private var events = ArrayList<LimitEvent>()

    /** Changes with the limits that this daemon has observed itself. */
    var version = 0L
        private set

    /** Records an answer of [target] that names a limit of [requestsPerSecond]. */
    fun recordNamed(
        target: TargetInstance,
        requestsPerSecond: Double,
        now: Long,
    ) = observe(target, requestsPerSecond, observedAt = now, isOwn = true)

    /** Records an answer of [target] without a limit to a request that was sent at [requestSentAt]. */
    fun recordUnnamed(
        target: TargetInstance,
        requestSentAt: Long,
        now: Long,
    ) {
        val previous = observations[target.id] ?: return
        if (previous.requestsPerSecond == null || requestSentAt <= previous.observedAt) return
        observe(target, null, observedAt = now, isOwn = true)
    }

    /** Records an answer of [target] that names [text] as its limit, which is not a number. */
    fun recordUnreadable(
        target: TargetInstance,
        text: String,
        now: Long,
    ) {
        val isRecent = now - (unreadableLoggedAt[target.id] ?: Long.MIN_VALUE / 2) < UNREADABLE_LOG_MILLISECONDS
        if (!isRecent && unreadableLoggedAt.advance(target.id, now)) events += LimitEvent.Unreadable(target, text)
    }

    /** Records what a peer has observed. */
    fun recordReport(
        limits: List<ReportedLimit>,
        now: Long,
    ) = limits.forEach { observe(it.target, it.requestsPerSecond, observedAt = now - maxOf(0, it.age), isOwn = false) }

    /** The limit of [target] in requests per second, or null. */
    fun find(target: TargetInstance): Double? =
        observations[target.id]?.takeIf { it.target.isSameAs(target) }?.requestsPerSecond

    /** The targets with a limit and their limits in requests per second. */
    fun limited(): Map<TargetInstance, Double> = observations.values
        .mapNotNull { observation -> observation.requestsPerSecond?.let { observation.target to it } }
        .toMap()

    /** What this daemon has observed itself, the latest first. */
    fun report(now: Long): List<ReportedLimit> = observations.values
        .filter { it.isOwn }
        .sortedByDescending { it.observedAt }
        .take(MAX_REPORTED)
        .map { ReportedLimit(it.target, it.requestsPerSecond, now - it.observedAt) }

    /** Returns the events since the last call. */
    fun takeEvents(): List<LimitEvent> {
        if (events.isEmpty()) return emptyList()
        return events.also { events = ArrayList() }
    }

    /** Removes limits that no answer has confirmed for a long time, and what ended some time ago. */
    fun removeExpired(now: Long) {
        observations.values.removeIf {
            val retention = if (it.requestsPerSecond == null) ENDED_RETENTION_MILLISECONDS else RETENTION_MILLISECONDS
            now - it.observedAt > retention
        }
    }

    private fun observe(
        target: TargetInstance,
        requestsPerSecond: Double?,
        observedAt: Long,
        isOwn: Boolean,
    ) {
        val previous = observations[target.id]
        if (previous != null && isOutdated(target, observedAt, previous)) return
        if (previous == null && observations.size >= MAX_TARGETS) return
        val continued = previous?.takeIf { it.target.isSameAs(target) && it.requestsPerSecond != null }
        val announced = continued?.announcedRequestsPerSecond
        val hasChanged = isNotable(announced, requestsPerSecond)
        val limitedSince = continued?.limitedSince ?: observedAt
        if (hasChanged) {
            events += LimitEvent.Changed(target, requestsPerSecond, announced, !isOwn, limitedSince)
            if (isOwn) version += 1
        }
        observations[target.id] =
            Observation(
                target,
                requestsPerSecond,
                observedAt,
                isOwn,
                limitedSince,
                if (hasChanged) requestsPerSecond else announced,
            )
    }

    private fun isOutdated(
        target: TargetInstance,
        observedAt: Long,
        previous: Observation,
    ): Boolean {
        if (previous.target.isSameAs(target)) return observedAt < previous.observedAt
        return (target.bornAt ?: 0) < (previous.target.bornAt ?: 0)
    }

    private fun isNotable(
        announced: Double?,
        requestsPerSecond: Double?,
    ): Boolean {
        if (announced == null || requestsPerSecond == null) return announced != requestsPerSecond
        return abs(announced - requestsPerSecond) > announced * NOTABLE_FRACTION
    }

    private companion object {
        /** Several times the interval at which trial requests reach a target with the lowest limit. */
        const val RETENTION_MILLISECONDS = 30_000L

        /** Long enough that each peer receives several reports of the end, although datagrams get lost. */
        const val ENDED_RETENTION_MILLISECONDS = 12_000L
        const val UNREADABLE_LOG_MILLISECONDS = 10_000L
        const val NOTABLE_FRACTION = 0.1

        /** Limits the size of messages to peers; those not reported are learned from the targets' own answers. */
        const val MAX_REPORTED = 16

        /** Limits the memory for targets whose answers this daemon has received. */
        const val MAX_TARGETS = 10_000
    }
}
