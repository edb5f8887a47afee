/*
 * The calls that wait at this daemon until a target has room, where callers of a service differ in priority. Decides
 * with [WaitingRequests]; sends a call once a request has ended, targets have changed or a peer's counts have come.
 */
package org.vanillalink.gateway.traffic

import org.vanillalink.gateway.ports.RequestMetadata
import org.vanillalink.model.RefusalReason
import org.vanillalink.model.ServiceName
import org.vanillalink.model.WorkspaceId
import org.vanillalink.serving.balancing.WaitingRequest
import org.vanillalink.serving.balancing.WaitingRequests
import org.vanillalink.serving.catalog.Catalog
import org.vanillalink.transport.ScheduledAction
import java.time.Duration
import kotlin.random.Random

/** Why a request that was admitted may not run any more. */
internal data class Withdrawal(
    val reason: RefusalReason,
    val detail: String,
)

/** Returns why [catalog] doesn't admit [request] any more, or null. */
internal fun findWithdrawal(
    catalog: Catalog,
    request: AdmittedRequest,
): Withdrawal? {
    val metadata: RequestMetadata = request.metadata
    val route = catalog.findRoute(metadata.host, request.message.path)
    val isServed = route != null && route.services.any { it.service == request.service.name && it.weight > 0 }
    if (!isServed) return Withdrawal(RefusalReason.UNKNOWN_SERVICE, "no route leads there any more")
    val workspace = metadata.key?.let(catalog::findWorkspace)
    val needsKey = catalog.isKeyRequired && route?.isPublic != true
    val isKnown = !needsKey || (workspace != null && workspace.id == request.workspace?.id)
    return if (isKnown) null else Withdrawal(RefusalReason.UNAUTHENTICATED, "the key was withdrawn")
}

/** Confined to the traffic thread. */
internal class WaitingCalls(
    private val state: TrafficState,
    private val random: Random,
    private val now: () -> Long,
    private val schedule: (Duration, () -> Unit) -> ScheduledAction,
) {
    private data class Capacity(
        val service: ServiceName,
        val name: String,
    )

    private val queues = HashMap<Capacity, WaitingRequests<ProxiedCall>>()
    private var isDispatchScheduled = false

    /** The number of calls that wait. */
    val count: Int get() = queues.values.sumOf { it.size }

    /** Sends [call], which has just arrived, or has it wait, or refuses it. */
    fun start(call: ProxiedCall) {
        val queue = findOrCreate(call.request) ?: return call.startAttempt(null)
        val request = call.request
        val waiting = WaitingRequest(call, request.work, workspaceOf(request), request.responseDeadline)
        call.waiting = waiting
        val comesTooSoon = request.message.body.isNotEmpty() && queue.comesTooSoon(request.signature.fingerprint, now())
        val isOvertaking = comesTooSoon && queue.size > 0
        queue.add(waiting, now())
        if (!isOvertaking) dispatch(queue)
        if (call.waiting == null) return
        val mayWait = !comesTooSoon && hasTargets(request) && queue.mayWait(waiting, now())
        if (mayWait) {
            call.waitedMilliseconds = 0
            call.attempts.trail.append("queued(${queue.size})")
        } else {
            refuse(call)
        }
        queue.findSurplus()?.let { refuse(it.call) }
    }

    /** Removes [call], which has ended. */
    fun remove(call: ProxiedCall) {
        val waiting = call.waiting ?: return
        endWait(call)
        find(call.request)?.remove(waiting)
    }

    /** How many requests for each slot a group may have so that [request] is sent there, or null for the usual. */
    fun limitPerSlot(request: AdmittedRequest): Double? {
        val slots = request.service.engine?.slots ?: return null
        return find(request)?.limitPerSlot(request.work, slots, now())
    }

    /**
     * The milliseconds until the caller of [request] may come back, or null if this is not known: without targets the
     * rate of answers says nothing about the next ones.
     */
    fun retryAfter(request: AdmittedRequest): Long? {
        val queue = find(request)?.takeIf { hasTargets(request) } ?: return null
        val limit = request.retryAfterLimit(now()).toMillis()
        val delay = queue.retryAfter(request.work, workspaceOf(request), limit, now()) ?: return null
        queue.recordRefusal(request.signature.fingerprint, delay, now())
        return delay
    }

    /** Records that the first part of an answer to [request] came [milliseconds] after it was sent. */
    fun recordFirstAnswer(
        request: AdmittedRequest,
        milliseconds: Long,
    ) {
        find(request)?.recordFirstAnswer(milliseconds, now())
    }

    /** Records that [request] was answered whole, [milliseconds] after it was sent. */
    fun recordAnswer(
        request: AdmittedRequest,
        milliseconds: Long,
    ) {
        find(request)?.recordAnswer(request.work, milliseconds, now())
    }

    /** Sends calls that wait, as soon as the event in progress has been handled: targets may have room. */
    fun requestDispatch() {
        if (isDispatchScheduled || queues.values.all { it.size == 0 }) return
        isDispatchScheduled = true
        schedule(Duration.ZERO) {
            isDispatchScheduled = false
            update()
        }
    }

    /** Refuses calls that can't start in time any more, and sends those for which there is room. */
    fun update() = queues.values.filter { it.size > 0 }.forEach { queue ->
        queue.findHopeless(now()).forEach { refuse(it.call) }
        dispatch(queue)
    }

    /** Refuses all calls that wait, since this daemon stops. */
    fun refuseAll() = queues.values.flatMap { it.removeAll() }.forEach {
        it.call.refuse(RefusalReason.NOT_READY, "this daemon is stopping")
    }

    private fun dispatch(queue: WaitingRequests<ProxiedCall>) {
        // Groups that are too full for a call to keep its goal may still have room for one with more time.
        var blockedGoal = 0L
        while (true) {
            val next = findNext(queue, blockedGoal) ?: return
            if (!startOrRefuse(queue, next)) blockedGoal = maxOf(1, goalOf(next.call), blockedGoal)
        }
    }

    private fun findNext(
        queue: WaitingRequests<ProxiedCall>,
        blockedGoal: Long,
    ): WaitingRequest<ProxiedCall>? =
        if (blockedGoal == 0L) queue.next(now()) else queue.nextOther { goalOf(it) > blockedGoal }

    /** Sends [next], or refuses it if it may not run any more; returns false if no target has room for it. */
    private fun startOrRefuse(
        queue: WaitingRequests<ProxiedCall>,
        next: WaitingRequest<ProxiedCall>,
    ): Boolean {
        val call = next.call
        val withdrawal = findWithdrawal(call)
        if (withdrawal != null) {
            call.refuse(withdrawal.reason, withdrawal.detail)
            return true
        }
        val target = call.attempts.chooseTarget() ?: return false
        queue.removeToStart(next, now())
        endWait(call)
        call.startAttempt(null, target)
        return true
    }

    private fun goalOf(call: ProxiedCall): Long = call.request.route.latencyGoalMilliseconds

    private fun endWait(call: ProxiedCall) {
        call.waiting = null
        if (call.waitedMilliseconds != null) call.waitedMilliseconds = now() - call.request.arrivedAt
    }

    /** Refuses [call], for which no target has room in time. */
    private fun refuse(call: ProxiedCall) {
        val request = call.request
        val reason = state.describe(request.service, request.metadata.model, now())
        call.attempts.trail
            .append('!')
            .append(reason)
        call.onNoTarget()
    }

    /** Returns why [call], which has waited, may not start any more, or null. */
    private fun findWithdrawal(call: ProxiedCall): Withdrawal? {
        if (call.waitedMilliseconds == null) return null
        val block = state.poisonDetector.findBlock(call.signature, now())
        if (block != null && block.since > call.request.arrivedAt) {
            return Withdrawal(RefusalReason.POISON_SUSPECTED, "targets failed with requests like this one meanwhile")
        }
        return state.view.catalog?.let { findWithdrawal(it, call.request) }
    }

    private fun hasTargets(request: AdmittedRequest): Boolean =
        state.targets(request.service, request.metadata.model).any { state.isUsable(it, now()) }

    private fun find(request: AdmittedRequest): WaitingRequests<ProxiedCall>? = capacityOf(request)?.let(queues::get)

    private fun findOrCreate(request: AdmittedRequest): WaitingRequests<ProxiedCall>? =
        capacityOf(request)?.let { capacity -> queues.getOrPut(capacity) { WaitingRequests(random) } }

    /** Null where requests don't differ in priority, and for models that aren't configured. */
    private fun capacityOf(request: AdmittedRequest): Capacity? {
        if (request.work.priority == null) return null
        val engine = request.service.engine
        val model = request.metadata.model
        if (engine != null && engine.groupSize(model) == null) return null
        return request.service.capacityName(model)?.let { Capacity(request.service.name, it) }
    }

    private fun workspaceOf(request: AdmittedRequest) = request.workspace?.id ?: NO_WORKSPACE

    private companion object {
        /** Shared by the callers of public routes. */
        val NO_WORKSPACE = WorkspaceId("")
    }
}
