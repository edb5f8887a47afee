/*
 * Several daemons that share one table and one order target, with kills, pauses and messages that come late or twice.
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

internal sealed interface CallerAnswer {
    data class Answered(
        val outcome: CallOutcome,
        val replay: Boolean,
    ) : CallerAnswer

    data class Refused(
        val refusal: Refusal,
    ) : CallerAnswer
}

/** How the order target treats the next call. */
internal enum class TargetBehaviour { ANSWERS, REFUSES_CONNECTION, RUNS_AND_BREAKS, HANGS }

internal class DispatchCluster(
    val scenario: Scenario,
    daemons: Int = 2,
    private val jitterMilliseconds: Long = 1,
    private val duplicates: Double = 0.0,
) {
    val store = InMemoryTableStore()
    val runsByRecord = mutableMapOf<RecordId, Int>()
    val attemptsRun = mutableSetOf<AttemptId>()
    val answers = mutableMapOf<RequestId, MutableList<CallerAnswer>>()
    val attempts = mutableMapOf<RequestId, AttemptId>()
    var target = TargetBehaviour.ANSWERS
    var beforeStore: (DispatchDecision, FakeDaemon) -> Unit = { _, _ -> }
    val members = List(daemons) { FakeDaemon(this, DaemonId("d$it")) }
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
                record = RecordId.of(WorkspaceId(workspace), ServiceName("orders"), IdempotencyKey(key)),
                attempt = AttemptId("a-$request"),
                fingerprint = CallFingerprint.ofCall("POST", "/orders", body.toByteArray()),
                workspace = WorkspaceId(workspace),
                deadline = scenario.now.plus(deadline),
            )
        attempts[request] = call.attempt
        members[daemon].receive(DispatchEvent.CallArrived(call))
        return request
    }

    fun answerTo(request: RequestId): CallerAnswer? = answers[request]?.last()

    fun refusalOf(request: RequestId): Refusal? = (answerTo(request) as? CallerAnswer.Refused)?.refusal

    fun deliver(action: () -> Unit) {
        val copies = if (scenario.random.nextDouble() < duplicates) 2 else 1
        repeat(copies) { scenario.after(delay(), action) }
    }

    fun delay(): Duration = Duration.ofMillis(scenario.random.nextLong(jitterMilliseconds) + 1)

    fun checkPromises() {
        runsByRecord.forEach { (record, runs) -> scenario.check(runs <= 1) { "$runs runs of $record" } }
        answers.forEach { (request, given) ->
            scenario.check(given.size <= 1) { "$request was answered ${given.size} times" }
            val refusal = (given.last() as? CallerAnswer.Refused)?.refusal
            val promised = refusal?.outcome == RefusalOutcome.NOT_RUN
            scenario.check(!promised || attempts[request] !in attemptsRun) { "$request ran, but was told not-run" }
        }
    }
}

internal class FakeDaemon(
    private val cluster: DispatchCluster,
    private val id: DaemonId,
) {
    private val testSubject = IdempotentDispatch()
    private val waiting = mutableListOf<DispatchEvent>()
    private var boots = 0
    var paused = false
        private set
    var state = DispatchState(RecordOwner(id, BootId("$id-0")))
        private set

    init {
        cluster.scenario.every(Duration.ofMillis(100)) { receive(DispatchEvent.Tick) }
    }

    fun kill() {
        boots++
        waiting.clear()
        state = DispatchState(RecordOwner(id, BootId("$id-$boots")))
    }

    fun pause() {
        paused = true
    }

    fun wake() {
        paused = false
        val late = waiting.toList()
        waiting.clear()
        late.forEach(::receive)
    }

    fun receive(event: DispatchEvent) {
        if (paused) {
            if (event != DispatchEvent.Tick) waiting.add(event)
            return
        }
        val transition = testSubject.handle(state, event, cluster.scenario.now)
        state = transition.state
        transition.decisions.forEach(::carryOut)
    }

    private fun carryOut(decision: DispatchDecision) {
        cluster.scenario.note("$id $decision")
        cluster.beforeStore(decision, this)
        when (decision) {
            is DispatchDecision.Transact -> {
                later {
                    val result = cluster.store.transactNow(listOf(decision.write))
                    reply(DispatchEvent.TransactionFinished(decision.operation, result))
                }
            }

            is DispatchDecision.ReadRow -> {
                later {
                    val result = cluster.store.readNow(setOf(decision.row))
                    reply(DispatchEvent.RowsRead(decision.operation, result))
                }
            }

            is DispatchDecision.AskOwner -> {
                askOwner(decision)
            }

            is DispatchDecision.SendToTarget -> {
                send(decision.call)
            }

            is DispatchDecision.StoreBody -> {
                reply(DispatchEvent.BodyStored(decision.record, decision.name, Unit.right()))
            }

            is DispatchDecision.AnswerCaller -> {
                answer(decision.request, CallerAnswer.Answered(decision.outcome, decision.replay))
            }

            is DispatchDecision.RefuseCall -> {
                answer(decision.request, CallerAnswer.Refused(decision.refusal))
            }
        }
    }

    private fun later(action: () -> Unit) = cluster.scenario.after(cluster.delay(), action)

    /** The answer reaches this process only while the same boot runs. */
    private fun reply(event: DispatchEvent) {
        val boot = boots
        cluster.deliver { if (boot == boots) receive(event) }
    }

    private fun answer(
        request: RequestId,
        answer: CallerAnswer,
    ) {
        cluster.answers.getOrPut(request) { mutableListOf() }.add(answer)
    }

    private fun askOwner(decision: DispatchDecision.AskOwner) {
        val owner = cluster.members.first { it.id == decision.owner.daemon }
        if (owner.paused) return
        val status =
            if (owner.state.owner == decision.owner) owner.state.statusOf(decision.record) else OwnerStatus.Unreachable
        reply(DispatchEvent.OwnerAnswered(decision.record, status))
    }

    private fun send(call: KeyedCall) = later {
        if (cluster.target == TargetBehaviour.REFUSES_CONNECTION) {
            reply(DispatchEvent.TargetFailed(call.record, call.attempt, mayHaveRun = false))
        } else {
            run(call)
        }
    }

    private fun run(call: KeyedCall) {
        cluster.runsByRecord.merge(call.record, 1, Int::plus)
        cluster.attemptsRun.add(call.attempt)
        val outcome = CallOutcome(201, body = OutcomeBody.Inline.of("ran ${call.attempt}".toByteArray()))
        when (cluster.target) {
            TargetBehaviour.ANSWERS -> {
                reply(DispatchEvent.TargetAnswered(call.record, call.attempt, outcome))
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

/** Makes the store behave as [behaviour] for [duration]. */
internal fun DispatchCluster.storeFails(
    behaviour: StoreBehaviour,
    duration: Duration,
) {
    store.behaviour = behaviour
    scenario.after(duration) { store.behaviour = StoreBehaviour.ANSWERS }
}
