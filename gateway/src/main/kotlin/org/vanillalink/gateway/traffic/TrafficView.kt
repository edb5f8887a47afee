/*
 * The state that requests are routed by, published by the control thread as one immutable object.
 */
package org.vanillalink.gateway.traffic

import org.vanillalink.model.DaemonId
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.HostId
import org.vanillalink.model.ServiceName
import org.vanillalink.serving.balancing.DaemonDemand
import org.vanillalink.serving.catalog.Catalog
import org.vanillalink.serving.targets.GroupKey
import org.vanillalink.serving.targets.TargetEntry

/** A complete group, which takes requests at [head]. */
data class RoutableGroup(
    val key: GroupKey,
    val model: String,
    val head: TargetEntry,
)

/** Without peers, this daemon has each limit for itself. */
private object SingleDaemon : DaemonDemand {
    override val own = DaemonId("own")
    override val daemons = setOf(own)

    override fun demandFor(capacity: String): Map<DaemonId, Double> = emptyMap()
}

/** An immutable view, except that [daemonDemand] is evaluated by the traffic thread when it is needed. */
class TrafficView(
    val catalog: Catalog? = null,
    val groups: List<RoutableGroup> = emptyList(),
    /** Groups that lost a member: requests in progress there will get no response. */
    val broken: Set<GroupKey> = emptySet(),
    val plainTargets: Map<ServiceName, List<TargetEntry>> = emptyMap(),
    val evacuated: Set<FailureDomainId> = emptySet(),
    /** How many daemons share the budgets. */
    val budgetDaemons: Int = 1,
    /** By which the limits that targets name are divided among daemons. */
    val daemonDemand: DaemonDemand = SingleDaemon,
    /** The failure domain of this daemon, or null if it doesn't matter. */
    val failureDomain: FailureDomainId? = null,
) {
    private val groupByHead by lazy(LazyThreadSafetyMode.PUBLICATION) { groups.associateBy { it.head.id } }
    private val byModel = groups.groupBy { it.head.service to it.model }

    private val capacityByTarget by lazy(LazyThreadSafetyMode.PUBLICATION) {
        groups.associate { it.head.id to it.model } +
            plainTargets.flatMap { (service, targets) -> targets.map { it.id to service.value } }
    }

    /** All targets that requests are sent to: the heads of groups and those of plain services. */
    fun targets(): List<TargetEntry> = groups.map { it.head } + plainTargets.values.flatten()

    /** The group that takes requests at [head], or null. */
    fun groupAt(head: HostId): RoutableGroup? = groupByHead[head]

    /** The model or plain service that [target] serves, or null if it gets no requests. */
    fun capacityOf(target: HostId): String? = capacityByTarget[target]

    fun groups(
        service: ServiceName,
        model: String,
    ): List<RoutableGroup> = byModel[service to model].orEmpty()
}
