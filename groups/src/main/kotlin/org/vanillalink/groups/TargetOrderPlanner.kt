/*
 * Selection of the orders that are due. An order is repeated until the target's report confirms it.
 */
package org.vanillalink.groups

import org.vanillalink.model.HostId
import org.vanillalink.model.TargetPhase
import org.vanillalink.model.Transition

/** Compares the reported with the desired state of targets. */
internal class TargetOrderPlanner(
    private val settings: GroupSettings,
    private val repairOrder: RepairOrder,
    private val repairs: GroupRepairPlanner,
) {
    /** Plans the orders that are due; the number of weight loads is limited for the sake of the weight store's rate. */
    fun planOrders(view: ControllerView): Transition<ControllerState, DomainDecision> {
        val members = view.state.groupsByMember()
        val orders = planLoads(view) + planReleasesAndFences(view, members)
        val state = view.state
        val due = orders.filter { (host, order) -> isDue(view, host, order) }
        val sent = due.mapValues { (_, order) -> SentOrder(order, view.now) }
        val decisions = due.map { (host, order) -> DomainDecision.SendOrder(host, state.fencingNumber, order) }
        return Transition(state.copy(sentOrders = state.sentOrders + sent), decisions)
    }

    private fun isDue(
        view: ControllerView,
        host: HostId,
        order: TargetOrder,
    ): Boolean {
        val sent = view.state.sentOrders[host] ?: return true
        return sent.order != order || sent.sentAt.plus(settings.orderResendInterval) <= view.now
    }

    private fun planLoads(view: ControllerView): Map<HostId, TargetOrder> {
        val planned = mutableMapOf<HostId, TargetOrder>()
        var freeSlots = settings.maxConcurrentWeightLoads - countLoadsInProgress(view)
        groupsInRepairOrder(view).filter { canBecomeReady(view, it) }.forEach { group ->
            group.row.members.filter { !view.hasReported(it, group.description.assignmentFor(it)) }.forEach { host ->
                val order = loadOrder(group, host)
                val isExempt = hasWeights(view, group, host) || wasSent(view, host, order)
                if (isExempt || freeSlots > 0) planned[host] = order
                if (!isExempt && freeSlots > 0) freeSlots--
            }
        }
        return planned
    }

    /** A group with a silent member that could not be replaced must not delay the loads of other groups. */
    private fun canBecomeReady(
        view: ControllerView,
        group: ManagedGroup,
    ): Boolean = view.canOrder(group) && group.row.members.none { view.isSilent(it) }

    private fun groupsInRepairOrder(view: ControllerView): List<ManagedGroup> {
        val broken =
            view.state.groups.values
                .filter { it.row.members.isNotEmpty() && !view.isReady(it) }
        val priorities =
            view.state.services
                .orEmpty()
                .associate { it.service to it.priority }
        val incomplete =
            broken.sortedBy { it.row.generation }.map { group ->
                val membersWithWeights = group.row.members.filter { hasWeights(view, group, it) }
                val priority = priorities[group.row.service] ?: 0
                IncompleteGroup(group.group, group.row.service, group.row.members.size, priority, membersWithWeights)
            }
        return repairOrder.order(incomplete, repairs.availability(view)).map { view.state.groups.getValue(it.group) }
    }

    private fun loadOrder(
        group: ManagedGroup,
        host: HostId,
    ): TargetOrder = TargetOrder.Load(checkNotNull(group.description.assignmentFor(host)), group.row.members)

    /** A target that is ready for the same service has the weights already and only changes its assignment. */
    private fun hasWeights(
        view: ControllerView,
        group: ManagedGroup,
        host: HostId,
    ): Boolean {
        val report = view.freshReport(host) ?: return false
        return report.phase == TargetPhase.READY && report.assignment?.service == group.row.service
    }

    private fun wasSent(
        view: ControllerView,
        host: HostId,
        order: TargetOrder,
    ): Boolean = view.state.sentOrders[host]?.order == order

    /** Counts the targets that report loading, and those that were ordered to load and don't report it yet. */
    private fun countLoadsInProgress(view: ControllerView): Int = view.state.groups.values.sumOf { group ->
        group.row.members.count { host ->
            val isShown = view.hasReported(host, group.description.assignmentFor(host))
            val isLoading = view.freshReport(host)?.phase == TargetPhase.LOADING
            val isAwaited = !isShown && wasSent(view, host, loadOrder(group, host)) && !hasWeights(view, group, host)
            !view.isSilent(host) && (isLoading || isAwaited)
        }
    }

    private fun planReleasesAndFences(
        view: ControllerView,
        members: Map<HostId, ManagedGroup>,
    ): Map<HostId, TargetOrder> {
        val orders = mutableMapOf<HostId, TargetOrder>()
        view.state.hosts.keys.forEach { host ->
            val report = view.freshReport(host) ?: return@forEach
            val group = members[host]
            if (group == null && report.assignment != null) {
                orders[host] = TargetOrder.Release
            } else if (needsFence(view, host) && (group == null || !isOwnGeneration(view, group))) {
                orders[host] = TargetOrder.Fence(view.state.fencingNumber)
            }
        }
        return orders
    }

    private fun isOwnGeneration(
        view: ControllerView,
        group: ManagedGroup,
    ): Boolean = group.row.generation.fencingNumber == view.state.fencingNumber

    private fun needsFence(
        view: ControllerView,
        host: HostId,
    ): Boolean {
        val highest = view.freshReport(host)?.highestFencingNumber ?: return false
        return view.checksFencing(host) && highest < view.state.fencingNumber
    }
}
