/*
 * How a new controller learns which groups there are: from the rows, and from what targets report.
 *
 * A predecessor may have formed groups while the platform was down. Such a group is in no row, but all its members
 * report it, under a generation that is newer than the row's. It is taken over as it is.
 */
package org.vanillalink.groups

import org.vanillalink.model.Assignment
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.Generation
import org.vanillalink.model.GroupId
import org.vanillalink.model.HostId
import org.vanillalink.model.TargetPhase
import org.vanillalink.model.Transition

/** Builds a new controller's groups. */
internal class TakeOver(
    private val domain: FailureDomainId,
) {
    /** The groups of the rows. A row whose members' claims say otherwise is left without members. */
    fun groupsOfRows(state: ControllerState): Map<GroupId, WorkingGroup> {
        val rows = state.stored.filterKeys { it.value.startsWith(GroupRows.groupsPrefix(domain)) }
        return rows.entries
            .mapNotNull { (key, row) ->
                val group = GroupRows.groupOf(key) ?: return@mapNotNull null
                row?.let { WorkingGroup(group, claimedOnly(state, group, GroupRows.readGroup(it.value))) }
            }.associateBy { it.group }
    }

    /** Takes over the groups that the reports show whole under a newer generation of a predecessor. */
    fun adopt(view: ControllerView): Transition<ControllerState, DomainDecision> {
        val newer = reportedGroups(view).filter { isNewer(view, it) }
        return newer.fold(Transition(view.state)) { soFar, group ->
            val others = soFar.state.groups.mapValues { (_, other) -> without(other, group.row.members) }
            val groups = others + (group.group to group)
            val taken = DomainDecision.GroupTakenOver(group.description)
            Transition(soFar.state.copy(groups = groups), soFar.decisions + taken)
        }
    }

    private fun claimedOnly(
        state: ControllerState,
        group: GroupId,
        row: GroupRow,
    ): GroupRow {
        val claimed = row.members.all { state.storedClaim(it)?.group == group }
        return if (claimed) row else row.copy(members = emptyList())
    }

    private fun isNewer(
        view: ControllerView,
        reported: WorkingGroup,
    ): Boolean {
        val generation = reported.row.generation
        if (generation.fencingNumber >= view.state.number) return false
        val known = view.state.groups[reported.group] ?: return true
        return generation > known.row.generation
    }

    private fun reportedGroups(view: ControllerView): List<WorkingGroup> {
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
    ): WorkingGroup? {
        val (group, generation) = key
        val byRank = members.sortedBy { (_, assignment) -> assignment.rank }
        val size = byRank.first().second.size
        if (byRank.map { it.second.rank } != (0 until size).toList()) return null
        val hosts = byRank.map { it.first }
        val fabricDomains = hosts.map { view.state.hosts[it]?.fabricDomain }.toSet()
        if (fabricDomains.size != 1) return null
        val service = byRank.first().second.service
        return WorkingGroup(group, GroupRow(service, generation, hosts))
    }

    private fun without(
        group: WorkingGroup,
        hosts: List<HostId>,
    ): WorkingGroup {
        val members = group.row.members - hosts.toSet()
        if (members.size == group.row.members.size) return group
        return group.copy(row = group.row.copy(members = members))
    }
}
