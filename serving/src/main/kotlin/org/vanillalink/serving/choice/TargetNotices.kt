/*
 * What targets ask for in their answers: nothing more at all, because they leave, or nothing for a while.
 *
 * A target's own word goes before the registry's, which may be old or out of reach. It holds for one run of the target:
 * another run under the same id starts with a clean slate.
 */
package org.vanillalink.serving.choice

import org.vanillalink.model.HostId
import org.vanillalink.serving.targets.TargetRun

/** Times are milliseconds on the steady clock. Not thread safe. */
class TargetNotices {
    private class Notice(
        val run: TargetRun,
        var isLeaving: Boolean,
        var restsUntil: Long,
        var heardAt: Long,
    )

    private val notices = HashMap<HostId, Notice>()

    /** [run] says that it leaves; gives whether that is news. */
    fun leaves(
        run: TargetRun,
        now: Long,
    ): Boolean {
        val notice = notice(run, now) ?: return false
        val isNew = !notice.isLeaving
        notice.isLeaving = true
        return isNew
    }

    /** [run] wants no requests for [milliseconds] from [now]. Of several such times the one that ends last holds. */
    fun rests(
        run: TargetRun,
        milliseconds: Long,
        now: Long,
    ) {
        if (milliseconds <= 0) return
        val notice = notice(run, now) ?: return
        notice.restsUntil = maxOf(notice.restsUntil, now + minOf(milliseconds, LONGEST_REST_MILLISECONDS))
    }

    /** Whether [run] has said that it leaves. */
    fun isLeaving(run: TargetRun): Boolean = of(run)?.isLeaving ?: false

    /** How much longer [run] wants no requests, or 0. */
    fun restLeft(
        run: TargetRun,
        now: Long,
    ): Long = maxOf(0, (of(run)?.restsUntil ?: now) - now)

    /** Forgets notices that are too old to concern a run that is still there. */
    fun tidy(now: Long) {
        notices.values.removeIf { now - it.heardAt > REMEMBERED_MILLISECONDS && it.restsUntil <= now }
    }

    private fun of(run: TargetRun): Notice? = notices[run.id]?.takeIf { isSame(it.run, run) }

    /** The notice to write to, or null where [run] is over by what is known. */
    private fun notice(
        run: TargetRun,
        now: Long,
    ): Notice? {
        if ((notices[run.id]?.run?.bornAt ?: 0) > (run.bornAt ?: Long.MAX_VALUE)) return null
        val notice = of(run) ?: Notice(run, isLeaving = false, restsUntil = now, heardAt = now)
        notice.heardAt = now
        notices[run.id] = notice
        return notice
    }

    /** An entry that lacks the time of its birth proves no other run. */
    private fun isSame(
        known: TargetRun,
        run: TargetRun,
    ): Boolean = known.bornAt == run.bornAt || known.bornAt == null || run.bornAt == null

    private companion object {
        /** A longer time is taken for an error of the target's, so that it isn't lost for good. */
        const val LONGEST_REST_MILLISECONDS = 300_000L

        /** Far longer than a leaving target goes on serving. */
        const val REMEMBERED_MILLISECONDS = 1_800_000L
    }
}
