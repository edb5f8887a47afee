/*
 * Simulation of daemons that share one table and one target of a service for orders. Daemons can be killed or paused,
 * and messages can be delayed or duplicated.
 */
package org.vanillalink.dispatch.record

import arrow.core.right
import org.vanillalink.model.AttemptId
import org.vanillalink.model.BootId
import org.vanillalink.model.DaemonId
import org.vanillalink.model.IdempotencyKey
import org.vanillalink.model.Refusal
import org.vanillalink.model.RefusalOutcome
import org.vanillalink.model.RequestId
import org.vanillalink.model.ServiceName
import org.vanillalink.model.WorkspaceId
import org.vanillalink.testing.InMemoryTableStore
import org.vanillalink.testing.Scenario
import org.vanillalink.testing.StoreBehaviour
import java.time.Duration

internal sealed interface CallerResponse {
    data class Answered(
        val outcome: CallOutcome,
        val isReplay: Boolean,
    ) : CallerResponse

    data class Refused(
        val refusal: Refusal,
    ) : CallerResponse
}

/** How the target treats the next call. */
internal enum class TargetBehaviour { ANSWERS, REFUSES_CONNECTION, RUNS_AND_BREAKS, HANGS }

internal class DispatchCluster(
    val scenario: Scenario,
    daemonCount: Int = 2,
    private val maxDelayMilliseconds: Long = 1,
    private val duplicateProbability: Double = 0.0,
) {
    val store = InMemoryTableStore()
    val runsByRecord = mutableMapOf<RecordId, Int>()
    val attemptsRun = mutableSetOf<AttemptId>()
    val responses = mutableMapOf<RequestId, MutableList<CallerResponse>>()
    val attempts = mutableMapOf<RequestId, AttemptId>()
    var target = TargetBehaviour.ANSWERS
    var beforeDecision: (DispatchDecision, FakeDaemon) -> Unit = { _, _ -> }
    val daemons = List(daemonCount) { FakeDaemon(this, DaemonId("d$it")) }
    private var calls = 0

    fun call(
        daemon: Int,
        key: String = "k",
        body: String = "b",
        workspace: String = "w",
        deadline: Duration = Duration.ofSeconds(10),
    ): RequestId {
        val request = RequestId("r${calls++}")
        val call =
            KeyedCall(
                request = request,
                record = RecordId.forKey(WorkspaceId(workspace), ServiceName("orders"), IdempotencyKey(key)),
                attempt = AttemptId("a-$request"),
                fingerprint = CallFingerprint.forCall("POST", "/orders", body.toByteArray()),
                workspace = WorkspaceId(workspace),
                deadline = scenario.now.plus(deadline),
            )
        attempts[request] = call.attempt
        daemons[daemon].receive(DispatchEvent.CallArrived(call))
        return request
    }

    fun responseTo(request: RequestId): CallerResponse? = responses[request]?.last()

    fun refusalFor(request: RequestId): Refusal? = (responseTo(request) as? CallerResponse.Refused)?.refusal

    fun deliver(action: () -> Unit) {
        val copies = if (scenario.random.nextDouble() < duplicateProbability) 2 else 1
        repeat(copies) { scenario.after(delay(), action) }
    }

    fun delay(): Duration = Duration.ofMillis(scenario.random.nextLong(maxDelayMilliseconds) + 1)

    fun checkGuarantees() {
        runsByRecord.forEach { (record, runs) ->
            scenario.check(runs <= 1) { "$record: expected at most 1 run, got $runs" }
        }
        responses.forEach { (request, received) ->
            scenario.check(received.size <= 1) { "$request: expected at most 1 response, got ${received.size}" }
            val refusal = (received.last() as? CallerResponse.Refused)?.refusal
            val claimsNotRun = refusal?.outcome == RefusalOutcome.NOT_RUN
            scenario.check(
                !claimsNotRun || attempts[request] !in attemptsRun,
            ) { "$request ran, but was refused as not run" }
        }
    }
}

internal class FakeDaemon(
    private val cluster: DispatchCluster,
    private val id: DaemonId,
) {
    private val testSubject = IdempotentDispatch()
    private val deferredEvents = mutableListOf<DispatchEvent>()
    private var bootCount = 0
    var isPaused = false
        private set
    var state = DispatchState(RecordOwner(id, BootId("$id-0")))
        private set

    init {
        cluster.scenario.every(Duration.ofMillis(100)) { receive(DispatchEvent.Tick) }
    }

    fun kill() {
        bootCount++
        deferredEvents.clear()
        state = DispatchState(RecordOwner(id, BootId("$id-$bootCount")))
    }

    fun pause() {
        isPaused = true
    }

    fun resume() {
        isPaused = false
        val deferred = deferredEvents.toList()
        deferredEvents.clear()
        deferred.forEach(::receive)
    }

    fun receive(event: DispatchEvent) {
        if (isPaused) {
            if (event != DispatchEvent.Tick) deferredEvents.add(event)
            return
        }
        val transition = testSubject.handle(state, event, cluster.scenario.now)
        state = transition.state
        transition.decisions.forEach(::execute)
    }

    private fun execute(decision: DispatchDecision) {
        cluster.scenario.note("$id $decision")
        cluster.beforeDecision(decision, this)
        when (decision) {
            is DispatchDecision.Transact -> {
                afterDelay {
                    val result = cluster.store.transactNow(listOf(decision.write))
                    reply(DispatchEvent.TransactionFinished(decision.operation, result))
                }
            }

            is DispatchDecision.ReadRow -> {
                afterDelay {
                    val result = cluster.store.readNow(setOf(decision.row))
                    reply(DispatchEvent.ReadFinished(decision.operation, result))
                }
            }

            is DispatchDecision.QueryOwner -> {
                queryOwner(decision)
            }

            is DispatchDecision.SendToTarget -> {
                send(decision.call)
            }

            is DispatchDecision.StoreBody -> {
                reply(DispatchEvent.StoreBodyFinished(decision.record, decision.name, Unit.right()))
            }

            is DispatchDecision.RespondToCaller -> {
                recordResponse(decision.request, CallerResponse.Answered(decision.outcome, decision.isReplay))
            }

            is DispatchDecision.RefuseCall -> {
                recordResponse(decision.request, CallerResponse.Refused(decision.refusal))
            }
        }
    }

    private fun afterDelay(action: () -> Unit) = cluster.scenario.after(cluster.delay(), action)

    /** Delivers the result [event] only if this daemon hasn't been killed meanwhile. */
    private fun reply(event: DispatchEvent) {
        val boot = bootCount
        cluster.deliver { if (boot == bootCount) receive(event) }
    }

    private fun recordResponse(
        request: RequestId,
        response: CallerResponse,
    ) {
        cluster.responses.getOrPut(request) { mutableListOf() }.add(response)
    }

    private fun queryOwner(decision: DispatchDecision.QueryOwner) {
        val owner = cluster.daemons.first { it.id == decision.owner.daemon }
        if (owner.isPaused) return
        val status =
            if (owner.state.owner == decision.owner) owner.state.getStatus(decision.record) else OwnerStatus.Unreachable
        reply(DispatchEvent.OwnerStatusReceived(decision.record, status))
    }

    private fun send(call: KeyedCall) = afterDelay {
        if (cluster.target == TargetBehaviour.REFUSES_CONNECTION) {
            reply(DispatchEvent.TargetFailed(call.record, call.attempt, mayHaveRun = false))
        } else {
            run(call)
        }
    }

    private fun run(call: KeyedCall) {
        cluster.runsByRecord.merge(call.record, 1, Int::plus)
        cluster.attemptsRun.add(call.attempt)
        val outcome = CallOutcome(201, body = OutcomeBody.Inline.encode("ran ${call.attempt}".toByteArray()))
        when (cluster.target) {
            TargetBehaviour.ANSWERS -> {
                reply(DispatchEvent.TargetResponded(call.record, call.attempt, outcome))
            }

            TargetBehaviour.RUNS_AND_BREAKS -> {
                reply(DispatchEvent.TargetFailed(call.record, call.attempt, mayHaveRun = true))
            }

            TargetBehaviour.HANGS, TargetBehaviour.REFUSES_CONNECTION -> {
                Unit
            }
        }
    }
}

/** Sets the behaviour of the store to [behaviour] for [duration]. */
internal fun DispatchCluster.failStoreFor(
    behaviour: StoreBehaviour,
    duration: Duration,
) {
    store.behaviour = behaviour
    scenario.after(duration) { store.behaviour = StoreBehaviour.ANSWERS }
}
