/*
 * What targets ask for in their answers: nothing more at all, because they leave, or nothing for a while.
 *
 * A target's own word goes before the registry's, which may be old or out of reach. It holds for one run of the target:
 * another run under the same id starts with a clean slate.
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

    /** [instance] says that it leaves; gives whether that is news. */
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
     * [instance] wants no requests for [milliseconds] from [now]. Of several such times the one that ends last holds.
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

    /** Whether [instance] has said that it leaves. */
    fun isLeaving(instance: TargetInstance): Boolean = findStatus(instance)?.isLeaving ?: false

    /** How much longer [instance] wants no requests, or 0. */
    fun remainingBackOff(
        instance: TargetInstance,
        now: Long,
    ): Long = maxOf(0, (findStatus(instance)?.backOffUntil ?: now) - now)

    /** Forgets notices that are too old to concern a run that is still there. */
    fun removeExpired(now: Long) {
        statuses.values.removeIf { now - it.receivedAt > RETENTION_MILLISECONDS && it.backOffUntil <= now }
    }

    private fun findStatus(instance: TargetInstance): Status? = statuses[instance.id]?.takeIf {
        isSameInstance(it.instance, instance)
    }

    /** The notice to write to, or null where [instance] is over by what is known. */
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

    /** An entry that lacks the time of its birth proves no other run. */
    private fun isSameInstance(
        recorded: TargetInstance,
        instance: TargetInstance,
    ): Boolean = recorded.bornAt == instance.bornAt || recorded.bornAt == null || instance.bornAt == null

    private companion object {
        /** A longer time is taken for an error of the target's, so that it isn't lost for good. */
        const val MAX_BACK_OFF_MILLISECONDS = 300_000L

        /** Far longer than a leaving target goes on serving. */
        const val RETENTION_MILLISECONDS = 1_800_000L
    }
}
