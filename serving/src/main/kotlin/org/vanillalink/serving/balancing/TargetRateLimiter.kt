/*
 * Keeps this daemon's requests to targets within its shares of the limits that they have named.
 *
 * Each limited target has a leaky bucket: a request raises its level by one, the level falls at the rate of this
 * daemon's share, and a request is allowed while the level stays within the share's burst.
 */
package org.vanillalink.serving.balancing

import org.vanillalink.model.HostId
import org.vanillalink.serving.targets.TargetInstance
import kotlin.math.ceil

/** How much of this daemon's shares of all limits was used since the start, in requests. */
data class LimitUsage(
    /** What the limited targets would have taken from this daemon. */
    val allowed: Double = 0.0,
    val sent: Long = 0,
)

/** Times are milliseconds on the steady clock. Not thread safe. */
class TargetRateLimiter(
    val limits: TargetLimits = TargetLimits(),
) {
    private class Bucket(
        var level: Double,
        var updatedAt: Long,
    )

    private val sharing = LimitSharing()
    private val buckets = HashMap<HostId, Bucket>()

    var usage = LimitUsage()
        private set

    /** This daemon's part of the limit of [target], or null without a limit. */
    fun share(
        target: TargetInstance,
        capacity: String,
        demand: DaemonDemand,
    ): LimitShare? = limits.find(target)?.let { sharing.share(target.id, it, capacity, demand) }

    /**
     * The milliseconds until a request for [capacity] may be sent to [target]: 0 if one may be sent now, [NEVER] if
     * this daemon has no part of the limit. [recentlySent] is how many requests were sent there within the last second;
     * it counts when the limit is new.
     */
    fun delay(
        target: TargetInstance,
        capacity: String,
        demand: DaemonDemand,
        recentlySent: Int,
        now: Long,
    ): Long {
        val share = share(target, capacity, demand)
        if (share == null) {
            buckets.remove(target.id)
            return 0
        }
        val bucket = buckets.getOrPut(target.id) { Bucket(minOf(recentlySent.toDouble(), share.burst), now) }
        drain(bucket, share, now)
        if (share.requestsPerSecond <= 0) return NEVER
        val excess = bucket.level + 1 - share.burst
        if (excess <= ROUNDING_TOLERANCE) return 0
        return ceil(excess / share.requestsPerSecond * MILLISECONDS_PER_SECOND).toLong()
    }

    private fun drain(
        bucket: Bucket,
        share: LimitShare,
        now: Long,
    ) {
        val drained = maxOf(0, now - bucket.updatedAt) * share.requestsPerSecond / MILLISECONDS_PER_SECOND
        bucket.level = maxOf(0.0, bucket.level - drained)
        bucket.updatedAt = maxOf(bucket.updatedAt, now)
        usage = usage.copy(allowed = usage.allowed + drained)
    }

    /** Records a request sent to [target]. */
    fun recordSent(target: HostId) {
        val bucket = buckets[target] ?: return
        bucket.level += 1
        usage = usage.copy(sent = usage.sent + 1)
    }

    /** Drops the state of targets that no longer exist; [targets] do. */
    fun removeExpired(
        targets: Set<HostId>,
        now: Long,
    ) {
        limits.removeExpired(now)
        buckets.keys.retainAll(targets)
        sharing.retainTargets(targets)
    }

    companion object {
        const val NEVER = Long.MAX_VALUE
        private const val MILLISECONDS_PER_SECOND = 1_000.0
        private const val ROUNDING_TOLERANCE = 1e-6
    }
}
