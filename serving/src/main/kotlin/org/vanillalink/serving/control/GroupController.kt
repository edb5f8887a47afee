/*
 * Controls the serving groups of one failure domain: forms complete groups, monitors them, and dissolves those that
 * have lost a member, so that the remaining members soon serve again.
 *
 * It is a reconciler. Each tick compares the registry's entries with the desired groups; beyond the registry, the state
 * only holds orders whose effect isn't visible yet. So a daemon that takes over control needs nothing from its
 * predecessor but a higher epoch.
 *
 * Two rules ensure safety. A group is opened only after each member has itself reported that it is ready under the
 * group's name and epoch. A member of a group is used elsewhere only after the group's head has itself confirmed that
 * it doesn't serve the group, after the member has itself confirmed that it left, or if the head was never ordered to
 * open.
 */
package org.vanillalink.serving.control

import org.vanillalink.model.HostId
import org.vanillalink.serving.targets.GroupKey
import org.vanillalink.serving.targets.MemberState
import org.vanillalink.serving.targets.TargetEntry

/** The new state after an event, and the decisions to carry out. */
data class GroupTransition(
    val state: GroupControlState,
    val decisions: List<GroupDecision>,
)

/** Stateless controller of groups; see [GroupControlState]. */
class GroupController(
    private val settings: GroupControlSettings = GroupControlSettings(),
) {
    /** Applies [event], which occurred at [now] (milliseconds on the steady clock), to [state]. */
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

    /** Returns the groups that requests may be sent to. */
    fun servingGroups(
        state: GroupControlState,
        view: DomainView,
    ): List<AnnouncedGroup> {
        val servingRosters = state.rosters.filter { (key, roster) -> isServing(state, view, key, roster) }
        val listed = servingRosters.map { (key, roster) -> toAnnouncedGroup(key, roster.members.values) }
        val opened = state.formations.values.filter { isServing(state, it) }
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

    /** Groups whose requests in flight won't complete, for as long as they are announced to peers. */
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

    private fun isServing(
        state: GroupControlState,
        formation: Formation,
    ): Boolean = formation.phase == FormationPhase.OPENED && formation.key !in state.dissolutions &&
        formation.members.none { it.instance in state.failed }

    private fun tick(
        cycle: GroupControlCycle,
        view: DomainView,
    ) {
        cycle.refresh(view)
        GroupHealth(cycle, view).check()
        DissolutionSteps(cycle, view).advance()
        MemberReleaseSteps(cycle, view).advance()
        FormationSteps(cycle, view).advance()
        GroupPlanner(cycle, view).apply()
    }

    private fun checkSuspectedGroup(
        cycle: GroupControlCycle,
        key: GroupKey,
        view: DomainView,
    ) {
        val dissolution = cycle.state.dissolutions[key]
        if (dissolution != null && isGivenUp(cycle, dissolution, view)) {
            forceClose(cycle, dissolution)
            return
        }
        val members = cycle.members(key)
        val requested = members.count { member -> requestReportIfDue(cycle, member) }
        if (requested > 0) cycle.probeOtherTarget(view, members.map { it.id }.toSet())
    }

    /** Whether the requests in flight of a group that is dissolved can't be completed. */
    private fun isGivenUp(
        cycle: GroupControlCycle,
        dissolution: Dissolution,
        view: DomainView,
    ): Boolean = cycle.state.failed.any { (instance, failed) ->
        val isLost = cycle.isLost(failed, cycle.patience(view)) || !dissolution.isGraceful
        instance.id in dissolution.members && isLost
    }

    /** Dissolves a group without waiting for its requests in flight, since a member that they depend on has failed. */
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

/** A group that requests may be sent to; the first of [members] takes them. */
data class AnnouncedGroup(
    val key: GroupKey,
    val model: String,
    val members: List<HostId>,
)
