/*
 * Orders single members to leave a group whose head can't be asked: a head that is neither listed nor answers, or one
 * that this controller has never seen listed.
 *
 * Such a head may have ended, or may serve behind a cut. A member that has itself confirmed that it left is free in
 * both cases: a head that lost a member makes no progress, and breaks.
 */
package org.vanillalink.serving.control

import org.vanillalink.model.HostId
import org.vanillalink.serving.targets.GroupKey
import org.vanillalink.serving.targets.TargetEntry

internal class MemberReleaseSteps(
    private val cycle: GroupControlCycle,
    private val view: DomainView,
) {
    fun advance() {
        cycle.state.dissolutions.values
            .filter { it.isHeadGone }
            .forEach { group -> release(group.key, group.members - group.head.id) }
        cycle.state.rosters
            .filter { (key, roster) -> isHeadUnknown(key, roster) }
            .forEach { (key, roster) -> release(key, roster.members.keys) }
    }

    private fun isHeadUnknown(
        key: GroupKey,
        roster: Roster,
    ): Boolean {
        // An entry that stays behind may not show the group that the head reports.
        val isReported = cycle.state.headReports[key]?.state != null
        val isKnown =
            roster.head != null || key in cycle.state.formations || key in cycle.state.dissolvedAt || isReported
        return !isKnown && cycle.now - roster.firstSeenAt > cycle.settings.unknownHeadMilliseconds
    }

    private fun release(
        key: GroupKey,
        members: Set<HostId>,
    ) = members
        .mapNotNull { view.entries[it] }
        .filterNot { cycle.hasLeft(it.id, key) || it.instance in cycle.state.failed }
        .forEach { sendLeave(key, it) }

    private fun sendLeave(
        key: GroupKey,
        member: TargetEntry,
    ) {
        val groupMember = GroupMember(member.id, key)
        val lastSentAt = cycle.state.releases[groupMember]?.lastSentAt
        if (lastSentAt != null && cycle.now - lastSentAt < cycle.settings.resendMilliseconds) return
        cycle.send(member, GroupOrder.Leave(key))
        cycle.saveRelease(groupMember, MemberRelease(member.instance, cycle.now))
    }
}
