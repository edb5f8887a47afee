/*
 * Which orders have to be sent now. An order counts only once the target's report shows it; until then it is repeated.
 */
package org.vanillalink.groups

import org.vanillalink.model.HostId
import org.vanillalink.model.TargetPhase
import org.vanillalink.model.Transition

/** Compares what targets report with what they should do. */
internal class TargetOrders(
    private val settings: GroupSettings,
    private val repairOrder: RepairOrder,
    private val repairs: Repairs,
) {
    /** Orders that are due, with weight loads kept under the weight store's rate. */
    fun due(view: ControllerView): Transition<ControllerState, DomainDecision> {
        val members = view.state.membersOfAll()
        val orders = loads(view) + others(view, members)
        val state = view.state
        val due = orders.filter { (host, order) -> isDue(view, host, order) }
        val sent = due.mapValues { (_, order) -> SentOrder(order, view.now) }
        val decisions = due.map { (host, order) -> DomainDecision.SendOrder(host, state.number, order) }
        return Transition(state.copy(orders = state.orders + sent), decisions)
    }

    private fun isDue(
        view: ControllerView,
        host: HostId,
        order: TargetOrder,
    ): Boolean {
        val sent = view.state.orders[host] ?: return true
        return sent.order != order || sent.at.plus(settings.orderResendInterval) <= view.now
    }

    private fun loads(view: ControllerView): Map<HostId, TargetOrder> {
        val awaited = mutableMapOf<HostId, TargetOrder>()
        var slots = settings.maxConcurrentWeightLoads - loadsInProgress(view)
        inRepairOrder(view).filter { canBecomeReady(view, it) }.forEach { group ->
            group.row.members.filter { !view.hasReported(it, group.description.assignmentFor(it)) }.forEach { host ->
                val order = loadOrder(group, host)
                val free = hasWeights(view, group, host) || wasSent(view, host, order)
                if (free || slots > 0) awaited[host] = order
                if (!free && slots > 0) slots--
            }
        }
        return awaited
    }

    /** A group with a silent member that couldn't be replaced must not hold up the loads of others. */
    private fun canBecomeReady(
        view: ControllerView,
        group: WorkingGroup,
    ): Boolean = view.mayOrder(group) && group.row.members.none { view.isSilent(it) }

    private fun inRepairOrder(view: ControllerView): List<WorkingGroup> {
        val broken =
            view.state.groups.values
                .filter { it.row.members.isNotEmpty() && !view.isReady(it) }
        val priorities =
            view.state.services
                .orEmpty()
                .associate { it.service to it.priority }
        val lacking =
            broken.sortedBy { it.row.generation }.map { group ->
                val having = group.row.members.filter { hasWeights(view, group, it) }
                val priority = priorities[group.row.service] ?: 0
                LackingGroup(group.group, group.row.service, group.row.members.size, priority, having)
            }
        return repairOrder.order(lacking, repairs.standings(view)).map { view.state.groups.getValue(it.group) }
    }

    private fun loadOrder(
        group: WorkingGroup,
        host: HostId,
    ): TargetOrder = TargetOrder.Load(checkNotNull(group.description.assignmentFor(host)), group.row.members)

    /** A target that is ready for the same service has the weights and only changes its place. */
    private fun hasWeights(
        view: ControllerView,
        group: WorkingGroup,
        host: HostId,
    ): Boolean {
        val report = view.freshReport(host) ?: return false
        return report.phase == TargetPhase.READY && report.assignment?.service == group.row.service
    }

    private fun wasSent(
        view: ControllerView,
        host: HostId,
        order: TargetOrder,
    ): Boolean = view.state.orders[host]?.order == order

    /** Targets that report loading, and those that were ordered to and don't show it yet. */
    private fun loadsInProgress(view: ControllerView): Int = view.state.groups.values.sumOf { group ->
        group.row.members.count { host ->
            val shown = view.hasReported(host, group.description.assignmentFor(host))
            val loading = view.freshReport(host)?.phase == TargetPhase.LOADING
            val awaited = !shown && wasSent(view, host, loadOrder(group, host)) && !hasWeights(view, group, host)
            !view.isSilent(host) && (loading || awaited)
        }
    }

    private fun others(
        view: ControllerView,
        members: Map<HostId, WorkingGroup>,
    ): Map<HostId, TargetOrder> {
        val orders = mutableMapOf<HostId, TargetOrder>()
        view.state.hosts.keys.forEach { host ->
            val report = view.freshReport(host) ?: return@forEach
            val group = members[host]
            if (group == null && report.assignment != null) {
                orders[host] = TargetOrder.Release
            } else if (needsFence(view, host) && (group == null || !isOwn(view, group))) {
                orders[host] = TargetOrder.Fence(view.state.number)
            }
        }
        return orders
    }

    private fun isOwn(
        view: ControllerView,
        group: WorkingGroup,
    ): Boolean = group.row.generation.fencingNumber == view.state.number

    private fun needsFence(
        view: ControllerView,
        host: HostId,
    ): Boolean {
        val highest = view.freshReport(host)?.highestFencingNumber ?: return false
        return view.checksFencing(host) && highest < view.state.number
    }
}
