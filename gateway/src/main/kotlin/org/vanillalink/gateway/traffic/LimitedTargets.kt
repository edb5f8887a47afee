/*
 * Applies the limits that targets name in their responses to the requests that this daemon sends. Confined to the
 * traffic thread.
 */
package org.vanillalink.gateway.traffic

import org.vanillalink.gateway.ports.NamedLimit
import org.vanillalink.gateway.ports.ResponseMetadata
import org.vanillalink.model.HostId
import org.vanillalink.serving.balancing.ColdTargetLimiter
import org.vanillalink.serving.balancing.LimitShare
import org.vanillalink.serving.balancing.LimitUsage
import org.vanillalink.serving.balancing.TargetLimits
import org.vanillalink.serving.balancing.TargetRateLimiter
import org.vanillalink.serving.targets.TargetEntry
import org.vanillalink.serving.targets.TargetInstance

private const val HUNDREDTHS = 100.0

/** Rounds [value] to hundredths. */
internal fun roundForLog(value: Double): Double = Math.round(value * HUNDREDTHS) / HUNDREDTHS

/** Times are milliseconds on the steady clock. */
internal class LimitedTargets(
    private val coldTargetLimiter: ColdTargetLimiter,
    private val view: () -> TrafficView,
) {
    private val rateLimiter = TargetRateLimiter()
    val limits: TargetLimits get() = rateLimiter.limits
    val usage: LimitUsage get() = rateLimiter.usage

    /**
     * Records what a response of [target] with [metadata] to a request sent at [sentAt] says about its limit. A
     * response that is not [isUsable] may be older than its request.
     */
    fun recordResponse(
        target: TargetInstance,
        metadata: ResponseMetadata,
        isUsable: Boolean,
        sentAt: Long,
        now: Long,
    ) {
        when (val limit = metadata.limit) {
            is NamedLimit.PerSecond -> limits.recordNamed(target, limit.requests, now)

            is NamedLimit.Unreadable -> limits.recordUnreadable(target, limit.text, now)

            // A rejection that names no limit doesn't show that more requests would be accepted.
            is NamedLimit.None -> if (isUsable && !metadata.isNotRun) limits.recordUnnamed(target, sentAt, now)
        }
    }

    fun recordSent(target: HostId) = rateLimiter.recordSent(target)

    /** The milliseconds until the limit of [target] allows a request, as [TargetRateLimiter.delay] returns them. */
    fun delay(
        target: TargetEntry,
        now: Long,
    ): Long {
        val currentView = view()
        val capacity = currentView.capacityOf(target.id) ?: return 0
        val recentlySent = coldTargetLimiter.sentWithinWindow(target.id, now)
        return rateLimiter.delay(target.instance, capacity, currentView.daemonDemand, recentlySent, now)
    }

    /** This daemon's share of the limit that [target] has named, or null without one. */
    fun share(target: TargetInstance): LimitShare? {
        val currentView = view()
        return currentView.capacityOf(target.id)?.let { rateLimiter.share(target, it, currentView.daemonDemand) }
    }

    /** Brings [usage] up to date. */
    fun updateUsage(now: Long) {
        val limited = limits.limited().keys
        if (limited.isEmpty()) return
        view().targets().filter { it.instance in limited }.forEach { delay(it, now) }
    }

    /** Describes for the log the [targets] that take no request now because of their limits. */
    fun describe(
        targets: List<TargetEntry>,
        now: Long,
    ): String {
        val delays = targets.map { it to delay(it, now) }.filter { (_, delay) -> delay > 0 }
        val (soonest, delay) = delays.minByOrNull { it.second } ?: return ""
        val share = share(soonest.instance)
        val shareText = share?.requestsPerSecond?.let(::roundForLog)
        val delayText = if (delay == TargetRateLimiter.NEVER) "never" else "${delay}ms"
        val limit = limits.find(soonest.instance)
        return ",limited=${delays.size},soonest=${soonest.id}:limit=$limit:share=$shareText:in=$delayText"
    }

    /** Removes outdated limits and the state of targets other than [targets]. */
    fun removeExpired(
        targets: Set<HostId>,
        now: Long,
    ) = rateLimiter.removeExpired(targets, now)
}
