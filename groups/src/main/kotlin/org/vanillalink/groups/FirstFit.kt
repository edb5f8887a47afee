/*
 * The simplest placement, which measurements compare others with.
 */
package org.vanillalink.groups

import org.vanillalink.model.FabricDomainId
import org.vanillalink.model.HostId

/**
 * Takes the first free hosts that fit, in the order of arrival. A broken group keeps its survivors and waits for a free
 * host of their fabric domain.
 */
class FirstFit : PlacementPolicy {
    override fun place(request: PlacementRequest): List<PlacedGroup> {
        val free = request.free.toMutableList()
        return request.lacking.mapNotNull { lacking ->
            val members = membersOf(lacking, free, request.fabricDomains) ?: return@mapNotNull null
            free.removeAll(members)
            PlacedGroup(lacking.group, members)
        }
    }

    private fun membersOf(
        lacking: LackingGroup,
        free: List<HostId>,
        fabricDomains: Map<HostId, FabricDomainId>,
    ): List<HostId>? {
        val home = lacking.survivors.firstOrNull()?.let { fabricDomains[it] }
        val candidates = free.groupBy { fabricDomains[it] }.filterKeys { home == null || it == home }
        val fitting = candidates.values.firstOrNull { it.size >= lacking.loads }.orEmpty()
        if (fitting.size < lacking.loads) return null
        return (lacking.survivors + fitting).take(lacking.size)
    }
}
