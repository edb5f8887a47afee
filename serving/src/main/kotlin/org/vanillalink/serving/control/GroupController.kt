/*
 * Controls the serving groups of one failure domain: forms whole groups, watches them, and takes apart those that have
 * lost a member so that the survivors serve again soon.
 *
 * It works like a reconciler. Each tick it compares what the registry lists with what should be there; beyond the
 * registry it only remembers orders whose effect isn't visible yet. So a daemon that takes over control needs nothing
 * from its predecessor but a greater epoch.
 *
 * Two rules carry the safety. A group is opened only after each member has itself reported that it is ready under the
 * group's name and epoch. And members of a group are used elsewhere only after its head has left, has ended, or was
 * never told to open.
 */
package org.vanillalink.serving.control

import org.vanillalink.model.HostId
import org.vanillalink.serving.targets.GroupKey
import org.vanillalink.serving.targets.MemberState
import org.vanillalink.serving.targets.TargetEntry

/** The result of one event. */
data class GroupTransition(
    val state: GroupControlState,
    val decisions: List<GroupDecision>,
)

/** Decides about groups; [settings] holds its delays. */
class GroupController(
    private val settings: GroupControlSettings = GroupControlSettings(),
) {
    /** Applies [event], which happened at [now], to [state]. */
    fun handle(
        state: GroupControlState,
        event: GroupEvent,
        now: Long,
    ): GroupTransition {
        val work = GroupWork(state, settings, now)
        when (event) {
            is GroupEvent.Tick -> tick(work, event.view)
            is GroupEvent.Suspected -> suspected(work, event.key, event.view)
            is GroupEvent.OrderAnswered -> OrderAnswers(work).apply(event)
            is GroupEvent.ReportAnswered -> ReportAnswers(work).apply(event)
        }
        return GroupTransition(work.state, work.decisions)
    }

    /** The groups that requests may go to, by what this controller knows. */
    fun serving(
        state: GroupControlState,
        view: DomainView,
    ): List<AnnouncedGroup> {
        val standing = state.rosters.filter { (key, roster) -> isSound(state, view, key, roster) }
        val listed = standing.map { (key, roster) -> announced(key, roster.members.values) }
        val opened = state.formations.values.filter { it.phase == FormationPhase.OPENED }
        return (
            opened.map {
                AnnouncedGroup(
                    it.key,
                    it.model,
                    it.members.map(TargetEntry::id),
                )
            } + listed
        ).distinctBy { it.key }
    }

    private fun announced(
        key: GroupKey,
        members: Collection<TargetEntry>,
    ): AnnouncedGroup {
        val ordered = members.sortedBy { it.membership?.rank }
        return AnnouncedGroup(key, ordered.first().model.orEmpty(), ordered.map { it.id })
    }

    /** Groups whose work in progress won't end, as long as somebody may not have heard of it. */
    fun broken(
        state: GroupControlState,
        now: Long,
    ): Set<GroupKey> {
        val ending =
            state.dissolutions.values
                .filterNot { it.isGentle }
                .map { it.key }
        val ended = state.dissolved.filterValues { now - it < settings.tellBrokenMilliseconds }.keys
        return (ending + ended).toSet()
    }

    private fun isSound(
        state: GroupControlState,
        view: DomainView,
        key: GroupKey,
        roster: Roster,
    ): Boolean {
        if (key in state.dissolutions || key in state.dissolved) return false
        val head = roster.head ?: return false
        val isOpen = view.entries[head.id]?.membership?.state == MemberState.OPEN
        val size = view.engine.groupSize(head.model)
        return isOpen && roster.members.size == size && roster.members.values.none { it.instance in state.silent }
    }

    private fun tick(
        work: GroupWork,
        view: DomainView,
    ) {
        work.refresh(view)
        GroupHealth(work, view).check()
        DissolutionSteps(work, view).advance()
        FormationSteps(work, view).advance()
        GroupPlan(work, view).apply()
    }

    private fun suspected(
        work: GroupWork,
        key: GroupKey,
        view: DomainView,
    ) {
        val dissolution = work.state.dissolutions[key]
        if (dissolution != null) {
            hasten(work, dissolution)
            return
        }
        val members = work.members(key)
        val asked = members.count { member -> askAgain(work, member) }
        if (asked > 0) work.askWitness(view, members.map { it.id }.toSet())
    }

    /** Work in progress that stands still isn't waited for. */
    private fun hasten(
        work: GroupWork,
        dissolution: Dissolution,
    ) {
        if (!dissolution.isGentle) return
        val hastened = dissolution.copy(isGentle = false, lastSentAt = 0)
        work.state = work.state.copy(dissolutions = work.state.dissolutions + (dissolution.key to hastened))
    }

    private fun askAgain(
        work: GroupWork,
        member: TargetEntry,
    ): Boolean {
        val last = work.state.askedAt[member.id]
        if (last != null && work.now - last < settings.askAgainMilliseconds) return false
        work.ask(member)
        return true
    }
}

/** A group that a controller lets requests go to; the first of [members] takes them. */
data class AnnouncedGroup(
    val key: GroupKey,
    val model: String,
    val members: List<HostId>,
)
