/*
 * Which hosts form which groups, and in which order.
 */
package org.vanillalink.groups

import org.vanillalink.model.FabricDomainId
import org.vanillalink.model.GroupId
import org.vanillalink.model.HostId
import org.vanillalink.model.ServiceName

/** A group that needs a new set of [size] members. [survivors] are its present members that may stay. */
data class LackingGroup(
    val group: GroupId,
    val service: ServiceName,
    val size: Int,
    val priority: Int,
    val survivors: List<HostId>,
) {
    /** How many hosts have to load weights before the group can serve. */
    val loads: Int get() = size - survivors.size
}

/** How a service stands: [serving] of [desired] groups. */
data class ServiceStanding(
    val serving: Int,
    val desired: Int,
) {
    /** The part of the service that serves, 0.0 to 1.0. */
    val fraction: Double get() = if (desired == 0) 1.0 else serving.toDouble() / desired
}

/** [lacking] groups in the order of arrival, and the hosts that may be used for them. */
data class PlacementRequest(
    val lacking: List<LackingGroup>,
    val free: List<HostId>,
    val fabricDomains: Map<HostId, FabricDomainId>,
    val standings: Map<ServiceName, ServiceStanding>,
)

/** The new members of a group in the order of their ranks. */
data class PlacedGroup(
    val group: GroupId,
    val members: List<HostId>,
)

/** Orders repairs, which share the weight store's rate. */
interface RepairOrder {
    /** [lacking] in the order in which they should be repaired. */
    fun order(
        lacking: List<LackingGroup>,
        standings: Map<ServiceName, ServiceStanding>,
    ): List<LackingGroup>
}

/** Chooses members. No host is placed twice, and all members of a group share a fabric domain. */
interface PlacementPolicy {
    /** The groups that can be made whole. */
    fun place(request: PlacementRequest): List<PlacedGroup>
}
