/*
 * The simplest placement, used as the baseline of measurements.
 */
package org.vanillalink.groups

import org.vanillalink.model.FabricDomainId
import org.vanillalink.model.HostId

/**
 * Takes the first free hosts that fit, in the order of arrival. An incomplete group keeps its survivors and waits for a
 * free host in their fabric domain.
 */
class FirstFit : PlacementPolicy {
    override fun place(request: PlacementRequest): List<PlacedGroup> {
        val free = request.free.toMutableList()
        return request.incomplete.mapNotNull { incomplete ->
            val members = selectMembers(incomplete, free, request.fabricDomains) ?: return@mapNotNull null
            free.removeAll(members)
            PlacedGroup(incomplete.group, members)
        }
    }

    private fun selectMembers(
        incomplete: IncompleteGroup,
        free: List<HostId>,
        fabricDomains: Map<HostId, FabricDomainId>,
    ): List<HostId>? {
        val fabricDomain = incomplete.survivors.firstOrNull()?.let { fabricDomains[it] }
        val candidates = free.groupBy { fabricDomains[it] }.filterKeys { fabricDomain == null || it == fabricDomain }
        val fitting = candidates.values.firstOrNull { it.size >= incomplete.requiredLoads }.orEmpty()
        if (fitting.size < incomplete.requiredLoads) return null
        return (incomplete.survivors + fitting).take(incomplete.size)
    }
}
