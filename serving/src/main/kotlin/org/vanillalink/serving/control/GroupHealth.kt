/*
 * Finds groups that can't go on, and begins to take them apart.
 *
 * An entry that is gone from the registry is a reason to ask, not a proof: its target may be dead, leaving, or just cut
 * off from the registry while it works on.
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
        work.state.rosters.forEach { (key, roster) -> check(key, roster) }
        askSilentAgain()
    }

    private fun check(
        key: GroupKey,
        roster: Roster,
    ) {
        if (key in work.state.dissolutions || key in work.state.dissolved || isForming(key)) return
        val head = roster.head ?: return
        if (head.membership?.state !in SERVING_STATES) {
            unopened(key, head)
            return
        }
        val reason = defect(key, roster, head)
        if (reason ==
            null
        ) {
            askUnlisted(roster)
        } else {
            work.dissolve(key, head, reason, isGentle = reason != MEMBER_SILENT)
        }
    }

    private fun isForming(key: GroupKey): Boolean {
        val phase = work.state.formations[key]?.phase
        return phase == FormationPhase.JOINING || phase == FormationPhase.OPENING
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
        roster: Roster,
        head: TargetEntry,
    ): String? {
        val members = roster.members.values
        val size = view.engine.groupSize(head.model) ?: return "model-unknown"
        if (members.any { it.instance in work.state.silent }) return MEMBER_SILENT
        val isNew = work.now - roster.firstSeenAt < work.settings.listingLagMilliseconds
        val isIncomplete = members.size < size && !isNew && key !in work.state.formations
        if (isIncomplete) return "member-lost"
        return if (members.any { view.entries[it.id]?.isLeaving == true }) "member-leaving" else null
    }

    private fun askUnlisted(roster: Roster) {
        val unlisted = roster.members.values.filter { it.id !in view.entries }
        val due =
            unlisted.filter {
                work.now - (work.state.askedAt[it.id] ?: 0) >= work.settings.silentRetryMilliseconds
            }
        if (due.isEmpty()) return
        due.forEach(work::ask)
        work.askWitness(view, due.map { it.id }.toSet())
    }

    private fun askSilentAgain() {
        work.state.silent.forEach { (instance, at) ->
            if (work.now - at < work.settings.silentRetryMilliseconds) return@forEach
            val entry = view.entries[instance.id] ?: return@forEach
            work.state = work.state.copy(silent = work.state.silent + (instance to work.now))
            work.ask(entry)
        }
    }

    private companion object {
        const val MEMBER_SILENT = "member-silent"
        val SERVING_STATES = setOf(MemberState.OPEN, MemberState.CLOSING)
    }
}
