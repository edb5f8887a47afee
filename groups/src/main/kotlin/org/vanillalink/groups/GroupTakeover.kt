/*
 * Recovery of the existing groups by a new controller, from the rows and from the targets' reports.
 *
 * A predecessor may have formed groups while the platform was down. Such a group is in no row, but all its members
 * report it, with a generation that is newer than the row's. It is taken over unchanged.
 */
package org.vanillalink.groups

import org.vanillalink.model.Assignment
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.Generation
import org.vanillalink.model.GroupId
import org.vanillalink.model.HostId
import org.vanillalink.model.TargetPhase
import org.vanillalink.model.Transition

internal class GroupTakeover(
    private val domain: FailureDomainId,
) {
    /** Returns the groups of the rows. A group whose members' claims differ from its row is left without members. */
    fun buildGroupsFromRows(state: ControllerState): Map<GroupId, ManagedGroup> {
        val rows = state.storedRows.filterKeys { it.value.startsWith(GroupRows.groupsPrefix(domain)) }
        return rows.entries
            .mapNotNull { (key, row) ->
                val group = GroupRows.decodeGroupId(key) ?: return@mapNotNull null
                row?.let { ManagedGroup(group, clearUnclaimedMembers(state, group, GroupRows.decodeGroup(it.value))) }
            }.associateBy { it.group }
    }

    /** Takes over the groups that all members report with a newer generation of a predecessor. */
    fun adoptReportedGroups(view: ControllerView): Transition<ControllerState, DomainDecision> {
        val newer = reportedGroups(view).filter { isNewer(view, it) }
        return newer.fold(Transition(view.state)) { accumulated, group ->
            val others = accumulated.state.groups.mapValues { (_, other) -> removeMembers(other, group.row.members) }
            val groups = others + (group.group to group)
            val takenOver = DomainDecision.GroupTakenOver(group.description)
            Transition(accumulated.state.copy(groups = groups), accumulated.decisions + takenOver)
        }
    }

    private fun clearUnclaimedMembers(
        state: ControllerState,
        group: GroupId,
        row: GroupRow,
    ): GroupRow {
        val isClaimed = row.members.all { state.storedClaim(it)?.group == group }
        return if (isClaimed) row else row.copy(members = emptyList())
    }

    private fun isNewer(
        view: ControllerView,
        reported: ManagedGroup,
    ): Boolean {
        val generation = reported.row.generation
        if (generation.fencingNumber >= view.state.fencingNumber) return false
        val current = view.state.groups[reported.group] ?: return true
        return generation > current.row.generation
    }

    private fun reportedGroups(view: ControllerView): List<ManagedGroup> {
        val assigned =
            view.state.hosts.keys
                .mapNotNull { host -> reportedAssignment(view, host)?.let { host to it } }
        return assigned
            .groupBy({ (_, assignment) -> assignment.group to assignment.generation }, { it })
            .mapNotNull { (key, members) -> assembleGroup(view, key, members) }
            .sortedBy { it.row.generation }
    }

    private fun reportedAssignment(
        view: ControllerView,
        host: HostId,
    ): Assignment? = view.freshReport(host)?.takeIf { it.phase != TargetPhase.EMPTY }?.assignment

    private fun assembleGroup(
        view: ControllerView,
        key: Pair<GroupId, Generation>,
        members: List<Pair<HostId, Assignment>>,
    ): ManagedGroup? {
        val (group, generation) = key
        val byRank = members.sortedBy { (_, assignment) -> assignment.rank }
        val size = byRank.first().second.size
        if (byRank.map { it.second.rank } != (0 until size).toList()) return null
        val hosts = byRank.map { it.first }
        val fabricDomains = hosts.map { view.state.hosts[it]?.fabricDomain }.toSet()
        if (fabricDomains.size != 1) return null
        val service = byRank.first().second.service
        return ManagedGroup(group, GroupRow(service, generation, hosts))
    }

    private fun removeMembers(
        group: ManagedGroup,
        hosts: List<HostId>,
    ): ManagedGroup {
        val members = group.row.members - hosts.toSet()
        if (members.size == group.row.members.size) return group
        return group.copy(row = group.row.copy(members = members))
    }
}
