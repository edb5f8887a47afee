/*
 * Placement that leaves few accelerators outside complete groups.
 *
 * Surviving members of incomplete groups are available to every incomplete group in their fabric domain, so that one
 * complete group can be formed from the remains of two. A group that its own fabric domain can't complete moves to the
 * fabric domain that keeps the fewest unused hosts afterwards.
 */
package org.vanillalink.groups

import org.vanillalink.model.FabricDomainId
import org.vanillalink.model.HostId

/** Best fit over fabric domains, for the groups in the order that [repairOrder] returns. */
class BestFit(
    private val repairOrder: RepairOrder = LeastAvailableServiceFirst(),
) : PlacementPolicy {
    override fun place(request: PlacementRequest): List<PlacedGroup> {
        val ordered = repairOrder.order(request.incomplete, request.availability)
        val placed = mutableListOf<PlacedGroup>()
        val used = mutableSetOf<HostId>()
        ordered.forEach { incomplete ->
            val others = ordered.filter { it != incomplete }
            val members = selectMembers(incomplete, others, request, used) ?: return@forEach
            used.addAll(members)
            placed.add(PlacedGroup(incomplete.group, members))
        }
        return placed
    }

    private fun selectMembers(
        incomplete: IncompleteGroup,
        others: List<IncompleteGroup>,
        request: PlacementRequest,
        used: Set<HostId>,
    ): List<HostId>? {
        val survivors = incomplete.survivors.filter { it !in used }
        val free = request.free.filter { it !in used }
        val survivorsOfOthers = survivorsOf(others, used)
        val candidates = (survivors + free + survivorsOfOthers).groupBy { request.fabricDomains[it] }
        val fitting = candidates.filterValues { it.size >= incomplete.size }
        val best = fitting.entries.minWithOrNull(compareDisruption(incomplete, survivors, free)) ?: return null
        return best.value.take(incomplete.size)
    }

    /** The survivors of [others], those of the groups with the fewest survivors first. */
    private fun survivorsOf(
        others: List<IncompleteGroup>,
        used: Set<HostId>,
    ): List<HostId> = others.sortedBy { it.survivors.size }.flatMap { it.survivors }.filter { it !in used }

    /** Fewest weight loads first, then the fewest hosts taken from other groups, then the tightest fit. */
    private fun compareDisruption(
        incomplete: IncompleteGroup,
        survivors: List<HostId>,
        free: List<HostId>,
    ): Comparator<Map.Entry<FabricDomainId?, List<HostId>>> =
        compareByDescending<Map.Entry<FabricDomainId?, List<HostId>>> { (_, hosts) -> hosts.count { it in survivors } }
            .thenBy { (_, hosts) -> hosts.take(incomplete.size).count { it !in survivors && it !in free } }
            .thenBy { (_, hosts) -> hosts.size }
            .thenBy { (fabricDomain, _) -> fabricDomain?.value.orEmpty() }
}
