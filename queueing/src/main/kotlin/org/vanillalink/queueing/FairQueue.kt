/*
 * The queue of one service or model: by priority class, then by weighted fair shares of workspaces, then by order of
 * arrival.
 *
 * Within a class each workspace has a queue with a virtual time, which advances by cost over weight whenever one of its
 * requests starts. The queue with the lowest virtual time is served next. A queue that was idle resumes at the class's
 * virtual time, so that other workspaces use an idle share and it does not accumulate.
 */
package org.vanillalink.queueing

import org.vanillalink.model.WorkspaceId
import java.util.TreeMap

/** A request as the queue sees it; a higher [weight] gives its workspace a larger share. */
interface QueuedRequest {
    /** Requests with a higher value are served first. */
    val urgency: Int
    val workspace: WorkspaceId
    val weight: Int

    /** In tokens. */
    val cost: Double
}

/** Requests that wait for a slot. */
class FairQueue<R : QueuedRequest> {
    private val classes = TreeMap<Int, PriorityClass<R>>(reverseOrder())

    var size = 0
        private set

    fun add(
        request: R,
        atFront: Boolean = false,
    ) {
        classes.getOrPut(request.urgency) { PriorityClass() }.add(request, atFront)
        size += 1
    }

    /** Returns the next request that satisfies [predicate], without removing it. */
    fun peek(predicate: (R) -> Boolean = { true }): R? = classes.values.firstNotNullOfOrNull { it.peek(predicate) }

    /**
     * Returns the next request of the most urgent class, or of the class of [urgency], without removing it: by shares
     * among those that satisfy [preference], or among all if there are none.
     */
    fun peekPreferred(
        urgency: Int? = null,
        preference: (R) -> Boolean,
    ): R? {
        val priorityClass = if (urgency == null) classes.firstEntry()?.value else classes[urgency]
        return priorityClass?.let { it.peek(preference) ?: it.peek { true } }
    }

    /** The classes that have requests, the most urgent first. */
    val urgencies: Set<Int> get() = classes.keys

    /** Removes [request] because it starts, and charges its cost to its workspace. */
    fun removeToStart(request: R) = removeRequest(request, charge = true)

    /** Removes [request] without charging its workspace. */
    fun remove(request: R) = removeRequest(request, charge = false)

    private fun removeRequest(
        request: R,
        charge: Boolean,
    ) {
        val priorityClass = classes[request.urgency] ?: return
        if (!priorityClass.removeRequest(request, charge)) return
        size -= 1
        if (priorityClass.isEmpty()) classes.remove(request.urgency)
    }

    /** Returns the tokens that would be served before a request that is added now. */
    fun costAhead(
        urgency: Int,
        workspace: WorkspaceId,
        weight: Int,
    ): Double = costAbove(urgency) + (classes[urgency]?.costAhead(workspace, weight) ?: 0.0)

    /** Returns the tokens of requests more urgent than [urgency]. */
    fun costAbove(urgency: Int): Double = classes.headMap(urgency, false).values.sumOf { it.cost }

    /** Returns the fraction (0.0 to 1.0) of the slots that [workspace] gets beside the workspaces that wait. */
    fun shareFraction(
        workspace: WorkspaceId,
        weight: Int,
    ): Double = weight.toDouble() / (weight + (classes.values.maxOfOrNull { it.otherWeights(workspace) } ?: 0))

    /** Returns the request to drop first: the newest one of the workspace most over its share in the lowest class. */
    fun lowestRanked(): R? = classes.lastEntry()?.value?.lowestRanked()

    /**
     * Returns the requests for which [isTooLate] holds, given the tokens served before each. Requests that are
     * themselves too late do not count as served.
     */
    fun findTooLate(isTooLate: (R, Double) -> Boolean): List<R> {
        val late = ArrayList<R>()
        var costAbove = 0.0
        for (priorityClass in classes.values) costAbove += priorityClass.collectTooLate(costAbove, late, isTooLate)
        return late
    }
}

private class PriorityClass<R : QueuedRequest> {
    private val queues = LinkedHashMap<WorkspaceId, WorkspaceQueue<R>>()
    private var virtualTime = 0.0
    var cost = 0.0
        private set

    fun isEmpty(): Boolean = queues.values.all { it.requests.isEmpty() }

    fun add(
        request: R,
        atFront: Boolean,
    ) {
        val queue = queues.getOrPut(request.workspace) { WorkspaceQueue() }
        if (queue.requests.isEmpty()) queue.virtualTime = maxOf(queue.virtualTime, virtualTime)
        queue.weight = request.weight
        if (atFront) queue.requests.addFirst(request) else queue.requests.addLast(request)
        queue.cost += request.cost
        cost += request.cost
    }

    fun peek(predicate: (R) -> Boolean): R? {
        val next = waitingQueues().filter { it.requests.any(predicate) }.minByOrNull { it.virtualTime }
        return next?.requests?.first(predicate)
    }

    fun removeRequest(
        request: R,
        charge: Boolean,
    ): Boolean {
        val queue = queues[request.workspace] ?: return false
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

    fun lowestRanked(): R? = waitingQueues().maxByOrNull { it.cost / it.weight }?.requests?.last()

    fun collectTooLate(
        costAbove: Double,
        late: MutableList<R>,
        isTooLate: (R, Double) -> Boolean,
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

    /** Returns the tokens of all workspaces that are served while [ownCost] of one is, at most [total]. */
    private fun costServedBeside(
        ownCost: Double,
        weight: Int,
        otherWeights: Int,
        total: Double,
    ): Double = minOf(total, ownCost * (weight + otherWeights) / weight)
}

private class WorkspaceQueue<R : QueuedRequest> {
    val requests = ArrayDeque<R>()
    var weight = 1
    var cost = 0.0
    var virtualTime = 0.0
}
