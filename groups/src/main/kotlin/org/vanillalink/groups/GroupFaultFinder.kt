/*
 * Detection of group faults that a repair can remove.
 */
package org.vanillalink.groups

import org.vanillalink.model.GroupId
import org.vanillalink.model.HostId

/** A fault of a group with its [reason], and the members that have to be replaced. */
internal data class GroupFault(
    val reason: RepairReason,
    val departingMembers: Set<HostId>,
)

internal class GroupFaultFinder(
    private val view: ControllerView,
    private val stragglers: Map<GroupId, HostId>,
    private val ownedFreeHosts: List<HostId>,
) {
    /** Returns the fault of [group], which should have [size] members, or null. */
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

    /** Finds members that still work but should be replaced once this controller owns enough spare hosts. */
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

    /** A predecessor's member with no or another assignment can't rejoin a generation that may have been ready. */
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
