/*
 * The state that requests are routed by, published by the control thread as one immutable object.
 */
package org.vanillalink.gateway.traffic

import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.ServiceName
import org.vanillalink.serving.catalog.Catalog
import org.vanillalink.serving.targets.GroupKey
import org.vanillalink.serving.targets.TargetEntry

/** A complete group, which takes requests at [head]. */
data class RoutableGroup(
    val key: GroupKey,
    val model: String,
    val head: TargetEntry,
)

/** An immutable view. */
class TrafficView(
    val catalog: Catalog? = null,
    val groups: List<RoutableGroup> = emptyList(),
    /** Groups that lost a member: requests in progress there will get no response. */
    val broken: Set<GroupKey> = emptySet(),
    val plainTargets: Map<ServiceName, List<TargetEntry>> = emptyMap(),
    val evacuated: Set<FailureDomainId> = emptySet(),
    /** How many daemons share the budgets. */
    val budgetDaemons: Int = 1,
) {
    private val byModel = groups.groupBy { it.head.service to it.model }

    fun groups(
        service: ServiceName,
        model: String,
    ): List<RoutableGroup> = byModel[service to model].orEmpty()
}
