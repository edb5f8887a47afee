/*
 * Finds groups that can't go on, and begins to take them apart.
 */
package org.vanillalink.serving.control

import org.vanillalink.serving.targets.GroupKey
import org.vanillalink.serving.targets.MemberState
import org.vanillalink.serving.targets.TargetEntry

internal class GroupHealth(
    private val work: GroupWork,
    private val view: DomainView,
) {
    fun check() {
        view.entries.values
            .filter { it.membership != null }
            .groupBy { entry -> entry.membership!!.let { GroupKey(it.group, it.epoch) } }
            .forEach { (key, members) -> check(key, members) }
        askSilentAgain()
    }

    private fun check(
        key: GroupKey,
        members: List<TargetEntry>,
    ) {
        if (key in work.state.dissolutions || key in work.state.dissolved) return
        if (work.state.formations[key]
                ?.phase
                .let { it == FormationPhase.JOINING || it == FormationPhase.OPENING }
        ) {
            return
        }
        val head = members.firstOrNull { it.membership?.rank == 0 }
        if (head == null) {
            headGone(key)
            return
        }
        if (head.membership?.state !in SERVING_STATES) {
            unopened(key, head)
            return
        }
        val reason = defect(key, members, head) ?: return
        work.dissolve(key, head, reason, isGentle = reason in GENTLE_REASONS)
    }

    /** A head that is no longer listed may only be cut off from the registry, and still serve. */
    private fun headGone(key: GroupKey) {
        val head = work.state.lastHeads[key] ?: return
        val mayServe = head.membership?.state in SERVING_STATES || work.mayStillOpen(key, head)
        if (mayServe) work.dissolve(key, head, "head-not-listed", isGentle = head.run !in work.state.silent)
    }

    /** An earlier controller's order to open may be carried out late, so its unopened groups are left before reuse. */
    private fun unopened(
        key: GroupKey,
        head: TargetEntry,
    ) {
        if (work.mayStillOpen(key, head)) work.dissolve(key, head, "formed-by-an-earlier-controller", isGentle = false)
    }

    private fun defect(
        key: GroupKey,
        members: List<TargetEntry>,
        head: TargetEntry,
    ): String? {
        val size =
            view.engine.models
                .firstOrNull { it.name == head.model }
                ?.size ?: return "model-unknown"
        if (members.any { it.run in work.state.silent }) return "member-silent"
        if (members.size < size) {
            val opened = work.state.formations[key]
            return if (opened == null) MEMBER_NOT_LISTED else null
        }
        return if (members.any { it.isLeaving }) MEMBER_LEAVING else null
    }

    private fun askSilentAgain() {
        work.state.silent.forEach { (run, at) ->
            if (work.now - at < work.settings.silentRetryMilliseconds) return@forEach
            val entry = view.entries[run.id] ?: return@forEach
            work.state = work.state.copy(silent = work.state.silent + (run to work.now))
            work.ask(entry)
        }
    }

    private companion object {
        const val MEMBER_LEAVING = "member-leaving"
        const val MEMBER_NOT_LISTED = "member-not-listed"

        /** A target that leaves, announced or not, goes on working for a while. */
        val GENTLE_REASONS = setOf(MEMBER_LEAVING, MEMBER_NOT_LISTED)
        val SERVING_STATES = setOf(MemberState.OPEN, MemberState.CLOSING)
    }
}
