/*
 * The requests of one daemon's process: attempts at targets, passing on to other daemons, final answers.
 */
package org.vanillalink.control.simulation

import org.vanillalink.control.DaemonDecision
import org.vanillalink.control.DaemonEvent
import org.vanillalink.control.admission.AttemptIds
import org.vanillalink.dispatch.record.CallFingerprint
import org.vanillalink.dispatch.record.CallOutcome
import org.vanillalink.dispatch.record.DispatchDecision
import org.vanillalink.dispatch.record.DispatchEvent
import org.vanillalink.dispatch.record.KeyedCall
import org.vanillalink.dispatch.record.OutcomeBody
import org.vanillalink.dispatch.record.OwnerStatus
import org.vanillalink.dispatch.record.RecordId
import org.vanillalink.model.AttemptId
import org.vanillalink.model.HostId
import org.vanillalink.model.IdempotencyKey
import org.vanillalink.model.RequestId
import org.vanillalink.routing.RouterDecision
import org.vanillalink.routing.RouterEvent
import java.time.Duration
import java.time.Instant

internal class DaemonCalls(
    private val daemon: SimulatedDaemon,
) {
    private class Running(
        val number: Int,
        val host: HostId?,
    )

    private class Call(
        val request: SimulatedRequest,
        val arrival: RouterEvent.RequestArrived,
    ) {
        var running: Running? = null
    }

    private val site = daemon.site
    private val scenario = site.scenario
    private val calls = LinkedHashMap<RequestId, Call>()

    fun arrive(
        request: SimulatedRequest,
        arrival: RouterEvent.RequestArrived,
        keyed: Boolean,
    ) {
        calls[arrival.request] = Call(request, arrival)
        val key = request.key?.takeIf { keyed }
        if (key == null) {
            daemon.feed(DaemonEvent.ForRouter(arrival))
            return
        }
        val call =
            KeyedCall(
                request = arrival.request,
                record = RecordId.forKey(arrival.workspace, arrival.service, IdempotencyKey(key)),
                attempt = AttemptId(arrival.request.value),
                fingerprint = CallFingerprint.forCall("POST", "/orders", key.encodeToByteArray()),
                workspace = arrival.workspace,
                deadline = arrival.deadline,
            )
        daemon.feed(DaemonEvent.KeyedCallArrived(call, arrival))
    }

    fun startAttempt(decision: DaemonDecision.StartAttempt) {
        val call = calls[decision.request] ?: return
        val running = Running(decision.attempt, decision.target.host)
        call.running = running
        val host = decision.target.host
        val target = site.target(host)
        val id = AttemptIds.create(decision.request, decision.attempt)
        val started = scenario.now
        site.network.ask<Boolean>(
            daemon.id.value,
            host.value,
            { answer ->
                target.whenAwake {
                    val start = AttemptStart(id, scenario.now, decision.target.group, daemon.id)
                    target.run(start, call.request.work) { answer(true) }
                }
            },
            SimulatedSite.ATTEMPT_TIMEOUT,
        ) { answered -> daemon.whenAwake { ended(call, running, answered != null, started) } }
    }

    private fun ended(
        call: Call,
        running: Running,
        whole: Boolean,
        started: Instant,
    ) {
        if (call.running !== running) return
        call.running = null
        val request = call.arrival.request
        if (!whole) {
            daemon.feed(
                DaemonEvent.ForRouter(
                    RouterEvent.AttemptFailed(request, running.number, mayHaveRun = true, executionEnded = false),
                ),
            )
            return
        }
        val time = Duration.between(started, scenario.now)
        val finished = RouterEvent.AttemptFinished(request, running.number, time)
        val isKeyed = call.request.key != null && !call.arrival.forwarded
        val outcome = CallOutcome(OK, emptyMap(), OutcomeBody.Inline.encode(call.request.work.encodeToByteArray()))
        daemon.feed(if (isKeyed) DaemonEvent.KeyedCallAnswered(finished, outcome) else DaemonEvent.ForRouter(finished))
    }

    fun endAttemptsAt(host: HostId) = calls.values.toList().forEach { call ->
        val running = call.running?.takeIf { it.host == host } ?: return@forEach
        if (call.request.key == null) ended(call, running, whole = false, started = scenario.now)
    }

    fun execute(decision: RouterDecision) {
        when (decision) {
            is RouterDecision.ForwardRequest -> forward(decision)
            is RouterDecision.CancelAttempt -> cancel(decision)
            is RouterDecision.AnswerRequest -> finish(decision.request, FinalResponse.Completed)
            is RouterDecision.RefuseRequest -> finish(decision.request, FinalResponse.Refused(decision.refusal))
            else -> Unit
        }
    }

    private fun cancel(decision: RouterDecision.CancelAttempt) {
        calls[decision.request]?.running = null
        daemon.deliver(DaemonEvent.AttemptClosed(decision.request, decision.attempt))
    }

    /** A daemon that takes a forwarded request gives its final answer as that of an attempt. */
    private fun forward(decision: RouterDecision.ForwardRequest) {
        val call = calls[decision.request] ?: return
        scenario.check(!call.arrival.forwarded) { "${daemon.id} passes ${decision.request} on a second time" }
        val running = Running(decision.attempt, null)
        call.running = running
        val peer = site.daemon(decision.daemon.value)
        val started = scenario.now
        site.network.ask<FinalResponse>(
            daemon.id.value,
            peer.id.value,
            { answer ->
                peer.whenAwake { site.arriveForwarded(peer, call.request, call.arrival, decision.attempt, answer) }
            },
            SimulatedSite.ATTEMPT_TIMEOUT,
        ) { answer -> daemon.whenAwake { forwardEnded(call, running, answer, started) } }
    }

    private fun forwardEnded(
        call: Call,
        running: Running,
        answer: FinalResponse?,
        started: Instant,
    ) {
        val refused = answer as? FinalResponse.Refused
        if (refused == null || refused.mayHaveRun) {
            ended(call, running, answer is FinalResponse.Completed, started)
            return
        }
        if (call.running !== running) return
        call.running = null
        val failed = RouterEvent.AttemptFailed(call.arrival.request, running.number, mayHaveRun = false)
        daemon.feed(DaemonEvent.ForRouter(failed))
    }

    fun execute(decision: DispatchDecision) {
        when (decision) {
            is DispatchDecision.Transact -> {
                site.platform.transact(daemon.id.value, listOf(decision.write)) {
                    deliver(DispatchEvent.TransactionFinished(decision.operation, it))
                }
            }

            is DispatchDecision.ReadRow -> {
                site.platform.read(daemon.id.value, setOf(decision.row)) {
                    deliver(DispatchEvent.ReadFinished(decision.operation, it))
                }
            }

            is DispatchDecision.QueryOwner -> {
                queryOwner(decision)
            }

            is DispatchDecision.RespondToCaller -> {
                finish(decision.request, FinalResponse.Completed)
            }

            is DispatchDecision.RefuseCall -> {
                finish(decision.request, FinalResponse.Refused(decision.refusal))
            }

            is DispatchDecision.StoreBody, is DispatchDecision.SendToTarget -> {
                Unit
            }
        }
    }

    private fun queryOwner(decision: DispatchDecision.QueryOwner) {
        val owner = site.daemon(decision.owner.daemon.value)
        site.network.ask<OwnerStatus>(daemon.id.value, owner.id.value, { answer ->
            owner.whenAwake {
                val state = owner.control.dispatchState
                val same = state.owner.boot == decision.owner.boot
                answer(if (same) state.getStatus(decision.record) else OwnerStatus.Unreachable)
            }
        }) { deliver(DispatchEvent.OwnerStatusReceived(decision.record, it ?: OwnerStatus.Unreachable)) }
    }

    private fun finish(
        request: RequestId,
        answer: FinalResponse,
    ) {
        val call = calls.remove(request)
        scenario.check(call != null) { "${daemon.id} answers $request twice, or without having it" }
        call?.request?.answered?.invoke(answer)
    }

    /** The process is gone: its callers see their connections break. */
    fun dropAll() {
        val waiting = calls.values.toList()
        calls.clear()
        waiting.forEach { it.request.answered(FinalResponse.ConnectionLost) }
    }

    private fun deliver(event: DispatchEvent) = daemon.deliver(DaemonEvent.ForDispatch(event))

    private companion object {
        const val OK = 200
    }
}
