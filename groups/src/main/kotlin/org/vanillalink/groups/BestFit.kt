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
    private val repairOrder: RepairOrder = MostServiceFirst(),
) : PlacementPolicy {
    override fun place(request: PlacementRequest): List<PlacedGroup> {
        val ordered = repairOrder.order(request.lacking, request.standings)
        val placed = mutableListOf<PlacedGroup>()
        val used = mutableSetOf<HostId>()
        ordered.forEach { lacking ->
            val others = ordered.filter { it != lacking }
            val members = membersOf(lacking, others, request, used) ?: return@forEach
            used.addAll(members)
            placed.add(PlacedGroup(lacking.group, members))
        }
        return placed
    }

    private fun membersOf(
        lacking: LackingGroup,
        others: List<LackingGroup>,
        request: PlacementRequest,
        used: Set<HostId>,
    ): List<HostId>? {
        val own = lacking.survivors.filter { it !in used }
        val free = request.free.filter { it !in used }
        val spared = sparedBy(others, used)
        val candidates = (own + free + spared).groupBy { request.fabricDomains[it] }
        val fitting = candidates.filterValues { it.size >= lacking.size }
        val choice = fitting.entries.minWithOrNull(leastDisturbance(lacking, own, free)) ?: return null
        return choice.value.take(lacking.size)
    }

    /** The groups with the fewest survivors give theirs up first. */
    private fun sparedBy(
        others: List<LackingGroup>,
        used: Set<HostId>,
    ): List<HostId> = others.sortedBy { it.survivors.size }.flatMap { it.survivors }.filter { it !in used }

    /** Fewest loads first, then the fewest hosts taken from other groups, then the tightest fit. */
    private fun leastDisturbance(
        lacking: LackingGroup,
        own: List<HostId>,
        free: List<HostId>,
    ): Comparator<Map.Entry<FabricDomainId?, List<HostId>>> =
        compareByDescending<Map.Entry<FabricDomainId?, List<HostId>>> { (_, hosts) -> hosts.count { it in own } }
            .thenBy { (_, hosts) -> hosts.take(lacking.size).count { it !in own && it !in free } }
            .thenBy { (_, hosts) -> hosts.size }
            .thenBy { (fabricDomain, _) -> fabricDomain?.value.orEmpty() }
}
