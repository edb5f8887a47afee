/*
 * Tracks which targets announced in their answers that they are leaving or asked for a back-off.
 *
 * A target's own announcement takes precedence over the registry, which may be outdated or unreachable. It applies to
 * one instance of the target only: another instance with the same id starts without restrictions.
 */
package org.vanillalink.serving.balancing

import org.vanillalink.model.HostId
import org.vanillalink.serving.targets.TargetInstance

/** Times are milliseconds on the steady clock. Not thread safe. */
class TargetAvailability {
    private class Status(
        val instance: TargetInstance,
        var isLeaving: Boolean,
        var backOffUntil: Long,
        var receivedAt: Long,
    )

    private val statuses = HashMap<HostId, Status>()

    /** Records that [instance] announced that it is leaving; returns true for the first announcement. */
    fun recordLeaving(
        instance: TargetInstance,
        now: Long,
    ): Boolean {
        val status = getOrCreateStatus(instance, now) ?: return false
        val isNew = !status.isLeaving
        status.isLeaving = true
        return isNew
    }

    /**
     * Records that [instance] asked for no requests for [milliseconds] after [now]. Of several back-offs, the one that
     * ends last applies.
     */
    fun recordRetryAfter(
        instance: TargetInstance,
        milliseconds: Long,
        now: Long,
    ) {
        if (milliseconds <= 0) return
        val status = getOrCreateStatus(instance, now) ?: return
        status.backOffUntil = maxOf(status.backOffUntil, now + minOf(milliseconds, MAX_BACK_OFF_MILLISECONDS))
    }

    /** Whether [instance] announced that it is leaving. */
    fun isLeaving(instance: TargetInstance): Boolean = findStatus(instance)?.isLeaving ?: false

    /** The remaining milliseconds of the back-off of [instance], or 0. */
    fun remainingBackOff(
        instance: TargetInstance,
        now: Long,
    ): Long = maxOf(0, (findStatus(instance)?.backOffUntil ?: now) - now)

    /** Removes entries that are too old to concern an instance that still exists. */
    fun removeExpired(now: Long) {
        statuses.values.removeIf { now - it.receivedAt > RETENTION_MILLISECONDS && it.backOffUntil <= now }
    }

    private fun findStatus(instance: TargetInstance): Status? = statuses[instance.id]?.takeIf {
        it.instance.isSameAs(instance)
    }

    /** Returns the status to update, or null if a later instance than [instance] is known. */
    private fun getOrCreateStatus(
        instance: TargetInstance,
        now: Long,
    ): Status? {
        if ((statuses[instance.id]?.instance?.bornAt ?: 0) > (instance.bornAt ?: Long.MAX_VALUE)) return null
        val status = findStatus(instance) ?: Status(instance, isLeaving = false, backOffUntil = now, receivedAt = now)
        status.receivedAt = now
        statuses[instance.id] = status
        return status
    }

    private companion object {
        /** Longer back-offs are taken as an error of the target and shortened, so that it isn't lost permanently. */
        const val MAX_BACK_OFF_MILLISECONDS = 300_000L

        /** Far longer than a leaving target continues to serve. */
        const val RETENTION_MILLISECONDS = 1_800_000L
    }
}
