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
    fun takeToStart(request: RoutedRequest) = take(request, charge = true)

    /** Takes [request] out without a start. */
    fun remove(request: RoutedRequest) = take(request, charge = false)

    private fun take(
        request: RoutedRequest,
        charge: Boolean,
    ) {
        val priorityClass = classes[request.arrival.priority] ?: return
        if (!priorityClass.take(request, charge)) return
        size -= 1
        if (priorityClass.isEmpty()) classes.remove(request.arrival.priority)
    }

    /** The tokens that go before a request that joins now. */
    fun costAhead(
        priority: Int,
        workspace: WorkspaceId,
        weight: Int,
    ): Double {
        val above = classes.headMap(priority, false).values.sumOf { it.cost }
        return above + (classes[priority]?.costAhead(workspace, weight) ?: 0.0)
    }

    /** The part (0.0 to 1.0) of the slots that [workspace] gets beside those that wait. */
    fun partOf(
        workspace: WorkspaceId,
        weight: Int,
    ): Double = weight.toDouble() / (weight + (classes.values.maxOfOrNull { it.otherWeights(workspace) } ?: 0))

    /** The request to drop first: of the lowest class, of the workspace most over its share, the newest. */
    fun leastDeserving(): RoutedRequest? = classes.lastEntry()?.value?.leastDeserving()

    /** All requests for which [tooLate] holds given the tokens before them, leaving out those that go as well. */
    fun tooLate(tooLate: (RoutedRequest, Double) -> Boolean): List<RoutedRequest> {
        val found = ArrayList<RoutedRequest>()
        var above = 0.0
        for (priorityClass in classes.values) above += priorityClass.collectTooLate(above, found, tooLate)
        return found
    }
}

private class PriorityClass {
    private val lanes = LinkedHashMap<WorkspaceId, Lane>()
    private var virtualTime = 0.0
    var cost = 0.0
        private set

    fun isEmpty(): Boolean = lanes.values.all { it.requests.isEmpty() }

    fun add(
        request: RoutedRequest,
        atFront: Boolean,
    ) {
        val lane = lanes.getOrPut(request.arrival.workspace) { Lane() }
        if (lane.requests.isEmpty()) lane.virtualTime = maxOf(lane.virtualTime, virtualTime)
        lane.weight = request.weight
        if (atFront) lane.requests.addFirst(request) else lane.requests.addLast(request)
        lane.cost += request.cost
        cost += request.cost
    }

    fun peek(predicate: (RoutedRequest) -> Boolean): RoutedRequest? {
        val next = waiting().filter { it.requests.any(predicate) }.minByOrNull { it.virtualTime }
        return next?.requests?.first(predicate)
    }

    fun take(
        request: RoutedRequest,
        charge: Boolean,
    ): Boolean {
        val lane = lanes[request.arrival.workspace] ?: return false
        if (!lane.requests.remove(request)) return false
        lane.cost -= request.cost
        cost -= request.cost
        if (!charge) return true
        virtualTime = maxOf(virtualTime, lane.virtualTime)
        lane.virtualTime += request.cost / lane.weight
        return true
    }

    fun costAhead(
        workspace: WorkspaceId,
        weight: Int,
    ): Double {
        val ownCost = lanes[workspace]?.cost ?: 0.0
        return shareOfOthers(ownCost, weight, otherWeights(workspace), cost)
    }

    fun otherWeights(workspace: WorkspaceId): Int =
        lanes.entries.filter { it.key != workspace && it.value.requests.isNotEmpty() }.sumOf { it.value.weight }

    fun leastDeserving(): RoutedRequest? = waiting().maxByOrNull { it.cost / it.weight }?.requests?.last()

    fun collectTooLate(
        above: Double,
        found: MutableList<RoutedRequest>,
        tooLate: (RoutedRequest, Double) -> Boolean,
    ): Double {
        val weights = waiting().sumOf { it.weight }
        var keptOfClass = cost
        for (lane in waiting()) {
            var keptOfLane = 0.0
            for (request in lane.requests) {
                val ahead = shareOfOthers(keptOfLane, lane.weight, weights - lane.weight, keptOfClass - request.cost)
                if (tooLate(request, above + ahead)) {
                    found.add(request)
                    keptOfClass -= request.cost
                } else {
                    keptOfLane += request.cost
                }
            }
        }
        return keptOfClass
    }

    private fun waiting() = lanes.values.filter { it.requests.isNotEmpty() }

    /** While a lane gets [ownCost] done, the others get their shares done as well, but no more than [total] in all. */
    private fun shareOfOthers(
        ownCost: Double,
        weight: Int,
        otherWeights: Int,
        total: Double,
    ): Double = minOf(total, ownCost * (weight + otherWeights) / weight)
}

private class Lane {
    val requests = ArrayDeque<RoutedRequest>()
    var weight = 1
    var cost = 0.0
    var virtualTime = 0.0
}
