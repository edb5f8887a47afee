/*
 * The queue of one service: priority classes first, then weighed fair shares between workspaces, then order of arrival.
 *
 * Within a class each workspace has a lane with a virtual time that advances by cost over weight whenever one of its
 * requests starts; the lane that is furthest behind goes next. A lane that was idle starts at the class's virtual time,
 * so an idle share is used by others and isn't saved up.
 */
package org.vanillalink.routing

import org.vanillalink.model.WorkspaceId
import java.util.TreeMap

/** Requests that wait for a slot. */
internal class FairQueue {
    private val classes = TreeMap<Int, PriorityClass>(reverseOrder())

    var size = 0
        private set

    fun add(
        request: RoutedRequest,
        atFront: Boolean = false,
    ) {
        classes.getOrPut(request.arrival.priority) { PriorityClass() }.add(request, atFront)
        size += 1
    }

    /** The next request among those that satisfy [predicate]. */
    fun peek(predicate: (RoutedRequest) -> Boolean = { true }): RoutedRequest? =
        classes.values.firstNotNullOfOrNull { it.peek(predicate) }

    /** Takes [request] out because it starts. */
    fun removeToStart(request: RoutedRequest) = removeRequest(request, charge = true)

    /** Takes [request] out without a start. */
    fun remove(request: RoutedRequest) = removeRequest(request, charge = false)

    private fun removeRequest(
        request: RoutedRequest,
        charge: Boolean,
    ) {
        val priorityClass = classes[request.arrival.priority] ?: return
        if (!priorityClass.removeRequest(request, charge)) return
        size -= 1
        if (priorityClass.isEmpty()) classes.remove(request.arrival.priority)
    }

    /** The tokens that go before a request that joins now. */
    fun costAhead(
        priority: Int,
        workspace: WorkspaceId,
        weight: Int,
    ): Double {
        val costAbove = classes.headMap(priority, false).values.sumOf { it.cost }
        return costAbove + (classes[priority]?.costAhead(workspace, weight) ?: 0.0)
    }

    /** The part (0.0 to 1.0) of the slots that [workspace] gets beside those that wait. */
    fun shareFraction(
        workspace: WorkspaceId,
        weight: Int,
    ): Double = weight.toDouble() / (weight + (classes.values.maxOfOrNull { it.otherWeights(workspace) } ?: 0))

    /** The request to drop first: of the lowest class, of the workspace most over its share, the newest. */
    fun lowestRanked(): RoutedRequest? = classes.lastEntry()?.value?.lowestRanked()

    /** All requests for which [tooLate] holds given the tokens before them, leaving out those that go as well. */
    fun findTooLate(isTooLate: (RoutedRequest, Double) -> Boolean): List<RoutedRequest> {
        val late = ArrayList<RoutedRequest>()
        var costAbove = 0.0
        for (priorityClass in classes.values) costAbove += priorityClass.collectTooLate(costAbove, late, isTooLate)
        return late
    }
}

private class PriorityClass {
    private val queues = LinkedHashMap<WorkspaceId, WorkspaceQueue>()
    private var virtualTime = 0.0
    var cost = 0.0
        private set

    fun isEmpty(): Boolean = queues.values.all { it.requests.isEmpty() }

    fun add(
        request: RoutedRequest,
        atFront: Boolean,
    ) {
        val queue = queues.getOrPut(request.arrival.workspace) { WorkspaceQueue() }
        if (queue.requests.isEmpty()) queue.virtualTime = maxOf(queue.virtualTime, virtualTime)
        queue.weight = request.weight
        if (atFront) queue.requests.addFirst(request) else queue.requests.addLast(request)
        queue.cost += request.cost
        cost += request.cost
    }

    fun peek(predicate: (RoutedRequest) -> Boolean): RoutedRequest? {
        val next = waitingQueues().filter { it.requests.any(predicate) }.minByOrNull { it.virtualTime }
        return next?.requests?.first(predicate)
    }

    fun removeRequest(
        request: RoutedRequest,
        charge: Boolean,
    ): Boolean {
        val queue = queues[request.arrival.workspace] ?: return false
        if (!queue.requests.remove(request)) return false
        queue.cost -= request.cost
        cost -= request.cost
        if (!charge) return true
        virtualTime = maxOf(virtualTime, queue.virtualTime)
        queue.virtualTime += request.cost / queue.weight
        return true
    }

    fun costAhead(
        workspace: WorkspaceId,
        weight: Int,
    ): Double {
        val ownCost = queues[workspace]?.cost ?: 0.0
        return costServedBeside(ownCost, weight, otherWeights(workspace), cost)
    }

    fun otherWeights(workspace: WorkspaceId): Int =
        queues.entries.filter { it.key != workspace && it.value.requests.isNotEmpty() }.sumOf { it.value.weight }

    fun lowestRanked(): RoutedRequest? = waitingQueues().maxByOrNull { it.cost / it.weight }?.requests?.last()

    fun collectTooLate(
        costAbove: Double,
        late: MutableList<RoutedRequest>,
        isTooLate: (RoutedRequest, Double) -> Boolean,
    ): Double {
        val weights = waitingQueues().sumOf { it.weight }
        var classCost = cost
        for (queue in waitingQueues()) {
            var queueCost = 0.0
            for (request in queue.requests) {
                val ahead = costServedBeside(queueCost, queue.weight, weights - queue.weight, classCost - request.cost)
                if (isTooLate(request, costAbove + ahead)) {
                    late.add(request)
                    classCost -= request.cost
                } else {
                    queueCost += request.cost
                }
            }
        }
        return classCost
    }

    private fun waitingQueues() = queues.values.filter { it.requests.isNotEmpty() }

    /** While a lane gets [ownCost] done, the others get their shares done as well, but no more than [total] in all. */
    private fun costServedBeside(
        ownCost: Double,
        weight: Int,
        otherWeights: Int,
        total: Double,
    ): Double = minOf(total, ownCost * (weight + otherWeights) / weight)
}

private class WorkspaceQueue {
    val requests = ArrayDeque<RoutedRequest>()
    var weight = 1
    var cost = 0.0
    var virtualTime = 0.0
}
