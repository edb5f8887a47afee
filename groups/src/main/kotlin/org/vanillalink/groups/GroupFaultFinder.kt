/*
 * What is wrong with a group, as far as a repair can mend it.
 */
package org.vanillalink.groups

import org.vanillalink.model.GroupId
import org.vanillalink.model.HostId

/** A group's fault: [reason], and the members that can't stay. */
internal data class GroupFault(
    val reason: RepairReason,
    val departingMembers: Set<HostId>,
)

/** Finds the faults of groups. */
internal class GroupFaultFinder(
    private val view: ControllerView,
    private val stragglers: Map<GroupId, HostId>,
    private val ownedFreeHosts: List<HostId>,
) {
    /** The fault of [group], which should have [size] members, or null. */
    fun findFault(
        group: ManagedGroup,
        size: Int,
    ): GroupFault? {
        val members = group.row.members
        val lost = members.filter { it !in view.state.hosts || view.isSilent(it) }
        if (lost.isNotEmpty()) return GroupFault(RepairReason.MembersLost(lost.toSet()), lost.toSet())
        if (members.size != size) return GroupFault(RepairReason.Lacking, emptySet())
        val restarted = members.firstOrNull { hasRestarted(group, it) }
        if (restarted != null) return GroupFault(RepairReason.MemberRestarted(restarted), emptySet())
        val hasEnded = view.state.endedGenerations[group.group] == group.row.generation
        return if (hasEnded) GroupFault(RepairReason.GenerationEnded, emptySet()) else findFaultWithSpare(group)
    }

    /** A member that works still, but should go once a host that this controller owns can take its place. */
    private fun findFaultWithSpare(group: ManagedGroup): GroupFault? {
        val members = group.row.members
        val leaving = members.filter { !view.isLive(it) }
        if (leaving.isNotEmpty() && hasSpares(group, leaving.size)) {
            return GroupFault(RepairReason.MembersLost(leaving.toSet()), leaving.toSet())
        }
        val straggler = stragglers[group.group] ?: return null
        if (!hasSpares(group, 1)) return null
        return GroupFault(RepairReason.Straggler(straggler), setOf(straggler))
    }

    private fun hasSpares(
        group: ManagedGroup,
        count: Int,
    ): Boolean {
        val fabricDomain = view.state.hosts[group.row.members.first()]?.fabricDomain
        return ownedFreeHosts.count { view.state.hosts[it]?.fabricDomain == fabricDomain } >= count
    }

    /** A predecessor's member that shows no place, or another, can't rejoin a generation that may have been whole. */
    private fun hasRestarted(
        group: ManagedGroup,
        host: HostId,
    ): Boolean {
        val report = view.freshReport(host) ?: return false
        val boot = group.boots[host]
        if (boot != null) return boot != report.boot
        if (group.row.generation.fencingNumber == view.state.fencingNumber) return false
        return report.assignment != group.description.assignmentFor(host)
    }
}
