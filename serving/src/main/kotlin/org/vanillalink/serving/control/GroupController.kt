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
    fun applyEvent(
        state: GroupControlState,
        event: GroupEvent,
        now: Long,
    ): GroupTransition {
        val cycle = GroupControlCycle(state, settings, now)
        when (event) {
            is GroupEvent.Tick -> tick(cycle, event.view)
            is GroupEvent.GroupSuspected -> checkSuspectedGroup(cycle, event.key, event.view)
            is GroupEvent.OrderAnswered -> OrderAnswers(cycle).apply(event)
            is GroupEvent.ReportAnswered -> ReportAnswers(cycle).apply(event)
        }
        return GroupTransition(cycle.state, cycle.decisions)
    }

    /** The groups that requests may go to, by what this controller knows. */
    fun servingGroups(
        state: GroupControlState,
        view: DomainView,
    ): List<AnnouncedGroup> {
        val servingRosters = state.rosters.filter { (key, roster) -> isServing(state, view, key, roster) }
        val listed = servingRosters.map { (key, roster) -> toAnnouncedGroup(key, roster.members.values) }
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

    private fun toAnnouncedGroup(
        key: GroupKey,
        members: Collection<TargetEntry>,
    ): AnnouncedGroup {
        val membersByRank = members.sortedBy { it.membership?.rank }
        return AnnouncedGroup(key, membersByRank.first().model.orEmpty(), membersByRank.map { it.id })
    }

    /** Groups whose work in progress won't end, as long as somebody may not have heard of it. */
    fun brokenGroups(
        state: GroupControlState,
        now: Long,
    ): Set<GroupKey> {
        val dissolving =
            state.dissolutions.values
                .filterNot { it.isGraceful }
                .map { it.key }
        val recentlyDissolved = state.dissolvedAt.filterValues { now - it < settings.announceBrokenMilliseconds }.keys
        return (dissolving + recentlyDissolved).toSet()
    }

    private fun isServing(
        state: GroupControlState,
        view: DomainView,
        key: GroupKey,
        roster: Roster,
    ): Boolean {
        if (key in state.dissolutions || key in state.dissolvedAt) return false
        val head = roster.head ?: return false
        val isOpen = view.entries[head.id]?.membership?.state == MemberState.OPEN
        val size = view.engine.groupSize(head.model)
        return isOpen && roster.members.size == size && roster.members.values.none { it.instance in state.failed }
    }

    private fun tick(
        cycle: GroupControlCycle,
        view: DomainView,
    ) {
        cycle.refresh(view)
        GroupHealth(cycle, view).check()
        DissolutionSteps(cycle, view).advance()
        FormationSteps(cycle, view).advance()
        GroupPlanner(cycle, view).apply()
    }

    private fun checkSuspectedGroup(
        cycle: GroupControlCycle,
        key: GroupKey,
        view: DomainView,
    ) {
        val dissolution = cycle.state.dissolutions[key]
        if (dissolution != null) {
            forceClose(cycle, dissolution)
            return
        }
        val members = cycle.members(key)
        val requested = members.count { member -> requestReportIfDue(cycle, member) }
        if (requested > 0) cycle.probeOtherTarget(view, members.map { it.id }.toSet())
    }

    /** Work in progress that stands still isn't waited for. */
    private fun forceClose(
        cycle: GroupControlCycle,
        dissolution: Dissolution,
    ) {
        if (!dissolution.isGraceful) return
        val updated = dissolution.copy(isGraceful = false, lastSentAt = 0)
        cycle.state = cycle.state.copy(dissolutions = cycle.state.dissolutions + (dissolution.key to updated))
    }

    private fun requestReportIfDue(
        cycle: GroupControlCycle,
        member: TargetEntry,
    ): Boolean {
        val lastRequestedAt = cycle.state.requestedAt[member.id]
        if (lastRequestedAt != null && cycle.now - lastRequestedAt < settings.reportRepeatMilliseconds) return false
        cycle.requestReport(member)
        return true
    }
}

/** A group that a controller lets requests go to; the first of [members] takes them. */
data class AnnouncedGroup(
    val key: GroupKey,
    val model: String,
    val members: List<HostId>,
)
