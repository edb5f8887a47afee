/*
 * Placement that leaves few accelerators outside whole groups.
 *
 * Survivors of broken groups count as free for every broken group of their fabric domain, so that one whole group is
 * re-formed from the remains of two. A group whose own fabric domain can't make it whole moves to the one that is left
 * with the fewest hosts over.
 */
package org.vanillalink.groups

import org.vanillalink.model.FabricDomainId
import org.vanillalink.model.HostId

/** Best fit over fabric domains, in the order that [repairOrder] gives. */
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

    /** The groups with the fewest survivors give theirs up first. */
    private fun survivorsOf(
        others: List<IncompleteGroup>,
        used: Set<HostId>,
    ): List<HostId> = others.sortedBy { it.survivors.size }.flatMap { it.survivors }.filter { it !in used }

    /** Fewest loads first, then the fewest hosts taken from other groups, then the tightest fit. */
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
