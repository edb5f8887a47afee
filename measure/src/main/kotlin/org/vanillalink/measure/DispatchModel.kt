/*
 * A small seeded model of daemons, one table and one order target, for measuring calls that may run at most once.
 *
 * It assumes that callers resend with the same key until they have an answer or have asked [SENDS_PER_KEY] times, that
 * a broken answer means that the order ran, and that table and target answer within milliseconds when they answer.
 */
package org.vanillalink.measure

import org.vanillalink.dispatch.record.CallFingerprint
import org.vanillalink.dispatch.record.CallOutcome
import org.vanillalink.dispatch.record.DispatchDecision
import org.vanillalink.dispatch.record.DispatchEvent
import org.vanillalink.dispatch.record.DispatchState
import org.vanillalink.dispatch.record.IdempotentDispatch
import org.vanillalink.dispatch.record.KeyedCall
import org.vanillalink.dispatch.record.OutcomeBody
import org.vanillalink.dispatch.record.OwnerStatus
import org.vanillalink.dispatch.record.RecordId
import org.vanillalink.dispatch.record.RecordOwner
import org.vanillalink.model.AttemptId
import org.vanillalink.model.BootId
import org.vanillalink.model.DaemonId
import org.vanillalink.model.IdempotencyKey
import org.vanillalink.model.RefusalOutcome
import org.vanillalink.model.RequestId
import org.vanillalink.model.ServiceName
import org.vanillalink.model.WorkspaceId
import org.vanillalink.testing.InMemoryTableStore
import org.vanillalink.testing.Scenario
import org.vanillalink.testing.StoreBehaviour
import java.time.Duration

/** Whether and how the target takes one call. */
internal enum class TargetFault { NONE, CONNECTION_REFUSED, BREAKS_AFTER_RUN }

/** Draws the faults of a run; [share] (0.0 to 1.0) of the calls meet each kind of target fault. */
internal class FaultSource(
    private val scenario: Scenario,
    private val share: Double,
) {
    fun next(): TargetFault {
        val drawn = scenario.random.nextDouble()
        return when {
            drawn < share -> TargetFault.CONNECTION_REFUSED
            drawn < 2 * share -> TargetFault.BREAKS_AFTER_RUN
            else -> TargetFault.NONE
        }
    }
}

internal class DispatchModel(
    private val scenario: Scenario,
    private val faults: FaultSource,
    faultyPlatform: Boolean,
) {
    private val testSubject = IdempotentDispatch()
    private val store = InMemoryTableStore()
    private val ids = List(DAEMONS) { DaemonId("d$it") }
    private val states = ids.associateWith { DispatchState(RecordOwner(it, BootId("0"))) }.toMutableMap()
    private val keyOf = mutableMapOf<RequestId, IdempotencyKey>()
    private val sendsOf = mutableMapOf<IdempotencyKey, Int>()
    private var sequence = 0
    val runs = mutableMapOf<RecordId, Int>()
    val answered = mutableSetOf<IdempotencyKey>()
    var calls = 0
        private set
    var notRun = 0
        private set
    var unknown = 0
        private set
    var writes = 0
        private set
    var handleNanoseconds = 0L
        private set

    init {
        ids.forEach { id -> scenario.every(TICK) { feed(id, DispatchEvent.Tick) } }
        if (faultyPlatform) {
            scenario.every(FAULT_PERIOD) { store.behaviour = drawBehaviour() }
            scenario.every(KILL_PERIOD) { kill(ids.random(scenario.random)) }
        }
    }

    fun send(key: IdempotencyKey) {
        if (key in answered || sendsOf.getOrDefault(key, 0) >= SENDS_PER_KEY) return
        sendsOf.merge(key, 1, Int::plus)
        val workspace = WorkspaceId("w")
        val call =
            KeyedCall(
                request = RequestId("r${sequence++}"),
                record = RecordId.forKey(workspace, ServiceName("orders"), key),
                attempt = AttemptId("a$sequence"),
                fingerprint = CallFingerprint.forCall("POST", "/orders", key.value.toByteArray()),
                workspace = workspace,
                deadline = scenario.now.plus(DEADLINE),
            )
        keyOf[call.request] = key
        calls++
        feed(ids.random(scenario.random), DispatchEvent.CallArrived(call))
        scenario.after(RESEND_AFTER) { send(key) }
    }

    private fun feed(
        id: DaemonId,
        event: DispatchEvent,
    ) {
        val before = System.nanoTime()
        val transition = testSubject.handle(states.getValue(id), event, scenario.now)
        handleNanoseconds += System.nanoTime() - before
        states[id] = transition.state
        transition.decisions.forEach { carryOut(id, it) }
    }

    private fun carryOut(
        id: DaemonId,
        decision: DispatchDecision,
    ) {
        when (decision) {
            is DispatchDecision.Transact -> {
                writes++
                later(
                    id,
                ) { DispatchEvent.TransactionFinished(decision.operation, store.transactNow(listOf(decision.write))) }
            }

            is DispatchDecision.ReadRow -> {
                later(id) { DispatchEvent.ReadFinished(decision.operation, store.readNow(setOf(decision.row))) }
            }

            is DispatchDecision.QueryOwner -> {
                later(id) { DispatchEvent.OwnerStatusReceived(decision.record, ask(decision)) }
            }

            is DispatchDecision.SendToTarget -> {
                later(id) { run(decision.call) }
            }

            is DispatchDecision.StoreBody -> {
                Unit
            }

            is DispatchDecision.RespondToCaller -> {
                answered += keyOf.getValue(decision.request)
            }

            is DispatchDecision.RefuseCall -> {
                if (decision.refusal.outcome == RefusalOutcome.NOT_RUN) notRun++ else unknown++
            }
        }
    }

    private fun later(
        id: DaemonId,
        event: () -> DispatchEvent,
    ) {
        val boot = states.getValue(id).owner
        scenario.after(delay()) {
            val happened = event()
            scenario.after(delay()) { if (states.getValue(id).owner == boot) feed(id, happened) }
        }
    }

    private fun ask(decision: DispatchDecision.QueryOwner): OwnerStatus {
        val asked = states.getValue(decision.owner.daemon)
        return if (asked.owner == decision.owner) asked.getStatus(decision.record) else OwnerStatus.Unreachable
    }

    private fun run(call: KeyedCall): DispatchEvent {
        val fault = faults.next()
        if (fault != TargetFault.CONNECTION_REFUSED) runs.merge(call.record, 1, Int::plus)
        val outcome = CallOutcome(CREATED, body = OutcomeBody.Inline.encode(call.attempt.value.toByteArray()))
        return when (fault) {
            TargetFault.NONE -> DispatchEvent.TargetResponded(call.record, call.attempt, outcome)
            TargetFault.CONNECTION_REFUSED -> DispatchEvent.TargetFailed(call.record, call.attempt, mayHaveRun = false)
            TargetFault.BREAKS_AFTER_RUN -> DispatchEvent.TargetFailed(call.record, call.attempt, mayHaveRun = true)
        }
    }

    private fun kill(id: DaemonId) {
        states[id] = DispatchState(RecordOwner(id, BootId("${sequence++}")))
    }

    private fun drawBehaviour(): StoreBehaviour = if (scenario.random.nextDouble() < HEALTHY_SHARE) {
        StoreBehaviour.ANSWERS
    } else {
        StoreBehaviour.entries.random(scenario.random)
    }

    private fun delay(): Duration = Duration.ofMillis(scenario.random.nextLong(1, LONGEST_DELAY_MILLISECONDS))

    internal companion object {
        const val SENDS_PER_KEY = 4
        private const val DAEMONS = 4
        private const val CREATED = 201
        private const val HEALTHY_SHARE = 0.7
        private const val LONGEST_DELAY_MILLISECONDS = 20L
        private val TICK = Duration.ofMillis(100)
        private val FAULT_PERIOD = Duration.ofMillis(700)
        private val KILL_PERIOD = Duration.ofSeconds(5)
        private val DEADLINE = Duration.ofSeconds(3)
        private val RESEND_AFTER = Duration.ofSeconds(4)
    }
}
