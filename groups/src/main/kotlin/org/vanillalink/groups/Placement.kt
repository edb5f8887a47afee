/*
 * Which hosts form which groups, and in which order.
 */
package org.vanillalink.groups

import org.vanillalink.model.FabricDomainId
import org.vanillalink.model.GroupId
import org.vanillalink.model.HostId
import org.vanillalink.model.ServiceName

/** A group that needs a new set of [size] members. [survivors] are its present members that may stay. */
data class IncompleteGroup(
    val group: GroupId,
    val service: ServiceName,
    val size: Int,
    val priority: Int,
    val survivors: List<HostId>,
) {
    /** How many hosts have to load weights before the group can serve. */
    val requiredLoads: Int get() = size - survivors.size
}

/** How a service stands: [serving] of [desired] groups. */
data class ServiceAvailability(
    val serving: Int,
    val desired: Int,
) {
    /** The part of the service that serves, 0.0 to 1.0. */
    val servingFraction: Double get() = if (desired == 0) 1.0 else serving.toDouble() / desired
}

/** [incomplete] groups in the order of arrival, and the hosts that may be used for them. */
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

/** Orders repairs, which share the weight store's rate. */
interface RepairOrder {
    /** [incomplete] in the order in which they should be repaired. */
    fun order(
        incomplete: List<IncompleteGroup>,
        availability: Map<ServiceName, ServiceAvailability>,
    ): List<IncompleteGroup>
}

/** Chooses members. No host is placed twice, and all members of a group share a fabric domain. */
interface PlacementPolicy {
    /** The groups that can be made whole. */
    fun place(request: PlacementRequest): List<PlacedGroup>
}
