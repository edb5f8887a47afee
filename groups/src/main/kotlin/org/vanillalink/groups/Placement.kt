/*
 * The policies that select the hosts of groups and the order of repairs.
 */
package org.vanillalink.groups

import org.vanillalink.model.FabricDomainId
import org.vanillalink.model.GroupId
import org.vanillalink.model.HostId
import org.vanillalink.model.ServiceName

/** A group that needs a new set of [size] members. [survivors] are its current members that may stay. */
data class IncompleteGroup(
    val group: GroupId,
    val service: ServiceName,
    val size: Int,
    val priority: Int,
    val survivors: List<HostId>,
) {
    /** The number of hosts that have to load weights before the group can serve. */
    val requiredLoads: Int get() = size - survivors.size
}

/** The availability of a service: [serving] of [desired] groups. */
data class ServiceAvailability(
    val serving: Int,
    val desired: Int,
) {
    /** The fraction of the desired groups that serves, 0.0 to 1.0. */
    val servingFraction: Double get() = if (desired == 0) 1.0 else serving.toDouble() / desired
}

/** The [incomplete] groups in the order of arrival, and the [free] hosts that may be used for them. */
data class PlacementRequest(
    val incomplete: List<IncompleteGroup>,
    val free: List<HostId>,
    val fabricDomains: Map<HostId, FabricDomainId>,
    val availability: Map<ServiceName, ServiceAvailability>,
)

/** The new members of a group in the order of their ranks. */
data class PlacedGroup(
    val group: GroupId,
    val members: List<HostId>,
)

/** Prioritizes repairs, because they share the rate of the weight store. */
interface RepairOrder {
    /** Returns [incomplete] in the order in which the groups should be repaired. */
    fun order(
        incomplete: List<IncompleteGroup>,
        availability: Map<ServiceName, ServiceAvailability>,
    ): List<IncompleteGroup>
}

/** Selects the members of groups. No host is placed twice, and all members of a group share a fabric domain. */
interface PlacementPolicy {
    /** Returns the groups that can be completed. */
    fun place(request: PlacementRequest): List<PlacedGroup>
}
