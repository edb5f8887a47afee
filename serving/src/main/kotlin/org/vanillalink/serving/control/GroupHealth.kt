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
        if (head.membership?.state !in SERVING_STATES) return
        val reason = defect(key, members, head) ?: return
        work.dissolve(key, head, reason, isGentle = reason == MEMBER_LEAVING)
    }

    /** A head that is no longer listed may only be cut off from the registry, and still serve. */
    private fun headGone(key: GroupKey) {
        val head = work.state.lastHeads[key] ?: return
        if (head.membership?.state !in SERVING_STATES) return
        work.dissolve(key, head, "head-not-listed", isGentle = false)
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
            return if (opened == null) "member-not-listed" else null
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
        val SERVING_STATES = setOf(MemberState.OPEN, MemberState.CLOSING)
    }
}
