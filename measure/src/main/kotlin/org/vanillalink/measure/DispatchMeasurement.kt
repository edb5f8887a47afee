/*
 * Runs per idempotency key under faults, and targets lost to a poison request, against the simplest policies.
 *
 * The baseline for calls sends again on each error without a record; the one for poison requests retries without limit
 * up to the resends of the run.
 */
package org.vanillalink.measure

import org.vanillalink.dispatch.poison.PoisonDecision
import org.vanillalink.dispatch.poison.PoisonEvent
import org.vanillalink.dispatch.poison.PoisonRequestTracker
import org.vanillalink.dispatch.poison.PoisonState
import org.vanillalink.dispatch.poison.TargetInstance
import org.vanillalink.dispatch.record.CallFingerprint
import org.vanillalink.model.AttemptId
import org.vanillalink.model.BootId
import org.vanillalink.model.DaemonId
import org.vanillalink.model.HostId
import org.vanillalink.model.IdempotencyKey
import org.vanillalink.model.RequestId
import org.vanillalink.testing.Scenario
import java.time.Duration

/** Figures of the module `dispatch`. */
class DispatchMeasurement : Measurement {
    override val name: String = "dispatch"

    override fun run(seed: Long): List<Figure> = faultyCalls(seed) + healthyCalls(seed) + poisonRequests()

    private fun faultyCalls(seed: Long): List<Figure> {
        val model = runModel(seed, FAULT_SHARE, faultyPlatform = true)
        val baseline = unrecordedRuns(seed)
        val doubled =
            model.runs.values
                .count { it > 1 }
                .toDouble()
        return listOf(
            Figure(
                "runs-per-key-max",
                model.runs.values
                    .max()
                    .toDouble(),
                "runs",
                baseline.max().toDouble(),
                "<= 1",
            ),
            Figure("keys-run-more-than-once", doubled, "keys", baseline.count { it > 1 }.toDouble(), "0"),
            Figure("keys-answered", model.answered.size * PERCENT / KEYS, "%"),
            Figure("refused-not-run", model.notRun * PERCENT / model.calls, "% of calls"),
            Figure("refused-unknown", model.unknown * PERCENT / model.calls, "% of calls"),
        )
    }

    private fun healthyCalls(seed: Long): List<Figure> {
        runModel(seed, faultShare = 0.0, faultyPlatform = false)
        val model = runModel(seed, faultShare = 0.0, faultyPlatform = false)
        val microseconds = model.handleNanoseconds / NANOSECONDS_PER_MICROSECOND / model.calls
        return listOf(
            Figure("aggregate-time-per-call", microseconds, "us, ticks included"),
            Figure("table-writes-per-call", model.writes.toDouble() / model.calls, "writes", baseline = 0.0),
        )
    }

    private fun runModel(
        seed: Long,
        faultShare: Double,
        faultyPlatform: Boolean,
    ): DispatchModel {
        val scenario = Scenario(seed)
        val model = DispatchModel(scenario, FaultSource(scenario, faultShare), faultyPlatform)
        repeat(KEYS) { number ->
            scenario.after(KEY_INTERVAL.multipliedBy(number.toLong())) { model.send(IdempotencyKey("k$number")) }
        }
        scenario.run(KEY_INTERVAL.multipliedBy(KEYS.toLong()).plus(SETTLE_TIME))
        return model
    }

    /** Runs per key where each error, also a broken answer, is followed by another send. */
    private fun unrecordedRuns(seed: Long): List<Int> {
        val faults = FaultSource(Scenario(seed), FAULT_SHARE)
        return List(KEYS) {
            val met = generateSequence { faults.next() }.take(DispatchModel.SENDS_PER_KEY).toList()
            val sent = met.take(met.indexOf(TargetFault.NONE).let { if (it < 0) met.size else it + 1 })
            sent.count { it != TargetFault.CONNECTION_REFUSED }
        }
    }

    private fun poisonRequests(): List<Figure> {
        val model = PoisonBatch()
        repeat(RESENDS) { model.sendPoison(it) }
        val innocents = model.innocentsCompleted * PERCENT / PoisonBatch.INNOCENTS
        return listOf(
            Figure("targets-lost-per-poison-request", model.lost.toDouble(), "targets", RESENDS.toDouble(), "<= 2"),
            Figure("innocents-completed", innocents, "%", target = "100"),
        )
    }

    private companion object {
        const val KEYS = 2_000
        const val FAULT_SHARE = 0.05
        const val RESENDS = 20
        const val PERCENT = 100.0
        const val NANOSECONDS_PER_MICROSECOND = 1_000.0
        val KEY_INTERVAL: Duration = Duration.ofMillis(50)
        val SETTLE_TIME: Duration = Duration.ofSeconds(30)
    }
}

/** One daemon and a target with innocents beside the poison request; each resend comes after the last one's loss. */
private class PoisonBatch {
    private val testSubject = PoisonRequestTracker()
    private val scenario = Scenario(seed = 1)
    private val poison = CallFingerprint("poison")
    private var state = PoisonState(DaemonId("d"))
    private var host = HostId("h0")
    private var pending = List(INNOCENTS) { "innocent$it" }
    var lost = 0
        private set
    val innocentsCompleted: Int get() = INNOCENTS - pending.size

    fun sendPoison(number: Int) {
        val target = TargetInstance(host, BootId("b$number"))
        val batch = pending.filter { place(it) }
        batch.forEach { start(it, CallFingerprint(it), target) }
        if (place(poison.value)) {
            start("poison$number", poison, target)
            feed(PoisonEvent.TargetLost(target))
            lost++
            host = HostId("h$lost")
            return
        }
        batch.forEach { feed(PoisonEvent.AttemptEnded(AttemptId(it))) }
        pending = pending - batch.toSet()
    }

    private fun place(name: String): Boolean {
        val wanted = PoisonEvent.PlacementRequested(RequestId(name), CallFingerprint(name), host, mayHaveRun = false)
        return feed(wanted).any { it is PoisonDecision.Place }
    }

    private fun start(
        attempt: String,
        fingerprint: CallFingerprint,
        target: TargetInstance,
    ) = feed(PoisonEvent.AttemptStarted(AttemptId(attempt), fingerprint, target))

    private fun feed(event: PoisonEvent): List<PoisonDecision> {
        val transition = testSubject.handle(state, event, scenario.now)
        state = transition.state
        return transition.decisions
    }

    companion object {
        const val INNOCENTS = 15
    }
}
