/*
 * Service while one of three failure domains leaves and returns cold.
 *
 * The baseline sends round-robin over all targets, learns of the move from a list that lags five seconds, brings the
 * returned targets back on a fixed timetable, and tries a failed request once more.
 */
package org.vanillalink.measure

import org.vanillalink.configuration.FailureDomainState
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.HostId
import org.vanillalink.testing.Scenario
import java.time.Duration
import java.time.Instant
import kotlin.random.Random

/** Measures a domain's move with capacity left elsewhere (half load) and with too little (nine tenths). */
class FailureDomainMoveMeasurement : Measurement {
    override val name: String = "failure-domain-move"

    override fun run(seed: Long): List<Figure> = LOADS.flatMap { (label, load) ->
        val ours = MoveRun(seed, load).routed()
        val theirs = MoveRun(seed, load).roundRobin()
        val target = if (load == LOADS.getValue(HALF)) "0" else null
        listOf(
            Figure("refused, $label", ours.refused, "requests", theirs.refused, target),
            Figure("asked, $label", ours.asked, "requests", theirs.asked),
            Figure("minutes with a refusal, $label", ours.refusedMinutes, "min", theirs.refusedMinutes),
            Figure("first tokens after 1 s, $label", ours.late, "requests", theirs.late),
            Figure("worst gap between first tokens, $label", ours.worstGap, "s", theirs.worstGap),
            Figure("cold targets that fell over, $label", ours.falls, "", theirs.falls, "0"),
            Figure("attempts in the left domain, $label", ours.startsWhileOut, "", theirs.startsWhileOut, "0"),
        )
    }

    private companion object {
        const val HALF = "half load"
        val LOADS = mapOf(HALF to 0.5, "nine tenths" to 0.9)
    }
}

/** What came of one run. */
internal class MoveResult(
    val asked: Double,
    val refused: Double,
    val refusedMinutes: Double,
    val late: Double,
    val worstGap: Double,
    val falls: Double,
    val startsWhileOut: Double,
)

/** One move at [load] (1.0 is the capacity of all three domains). */
private class MoveRun(
    seed: Long,
    private val load: Double,
) {
    private val scenario = Scenario(seed)

    /** Both policies get the same requests. */
    private val arrivals = Random(seed)
    private val domains = listOf("ikeja", "apapa", "lekki").map { FailureDomainId(it) }
    private val targets =
        domains.associateWith { domain ->
            (1..GROUPS).map { RoutingModelTarget(scenario, HostId("$domain-$it"), SLOTS) }
        }
    private val moving = domains.first()
    private var asked = 0
    private var refused = 0
    private val refusedMinutes = HashSet<Long>()
    private var late = 0
    private var lastFirstToken = Instant.EPOCH
    private var worstGap = Duration.ZERO
    private var lateStarts = 0
    private var turn = 0
    private val weights = HashMap<FailureDomainId, Double>()

    fun routed(): MoveResult {
        val daemons = domains.map { RoutingModelDaemon(scenario, "d-$it", it, targets.getValue(it)) }
        daemons.forEach { daemon -> daemon.start(daemons - daemon) }
        daemons.forEach { daemon ->
            val lag = Duration.ofMillis(scenario.random.nextLong(LONGEST_NEWS_MILLISECONDS))
            scenario.after(LEAVES.plus(lag)) { daemon.setDomain(moving, FailureDomainState.OUT) }
            scenario.after(RETURNS.plus(lag)) { daemon.setDomain(moving, FailureDomainState.IN) }
        }
        measure { id, tokens -> callRouter(daemons.random(scenario.random), id, tokens) }
        return result(daemons.first().startsWhileOut)
    }

    fun roundRobin(): MoveResult {
        scenario.after(LEAVES.plus(LIST_LAG)) { weights[moving] = 0.0 }
        repeat(TIMETABLE_STEPS) { step ->
            val at = RETURNS.plus(TIMETABLE.multipliedBy(step.toLong()).dividedBy(TIMETABLE_STEPS.toLong()))
            scenario.after(at) { weights[moving] = (step + 1.0) / TIMETABLE_STEPS }
        }
        measure { id, tokens -> callTarget(id, tokens, scenario.now, triesLeft = 2) }
        return result(lateStarts)
    }

    private fun measure(call: (String, Int) -> Unit) {
        scenario.after(STOPS) { targets.getValue(moving).forEach { it.stop() } }
        scenario.after(RETURNS) { targets.getValue(moving).forEach { it.startCold() } }
        ask(call)
        scenario.run(RUN)
    }

    private fun ask(call: (String, Int) -> Unit) {
        val gap = -Math.log(1 - arrivals.nextDouble()) / (CAPACITY_PER_SECOND * load)
        scenario.after(Duration.ofNanos((gap * NANOSECONDS_PER_SECOND).toLong())) {
            if (scenario.now < Instant.EPOCH.plus(RUN).minus(DEADLINE)) {
                call("c${asked++}", arrivals.nextInt(SHORTEST_ANSWER, LONGEST_ANSWER))
                ask(call)
            }
        }
    }

    private fun callRouter(
        daemon: RoutingModelDaemon,
        id: String,
        tokens: Int,
    ) {
        val sentAt = scenario.now
        val onEnd = { refusal: RoutingModelRefusal? -> if (refusal != null) refuse() }
        val onFirstToken = { firstToken(sentAt) }
        daemon.call(RoutingModelCall(id, "w", tokens, sentAt.plus(DEADLINE), onFirstToken, onEnd))
    }

    private fun callTarget(
        id: String,
        tokens: Int,
        sentAt: Instant,
        triesLeft: Int,
    ) {
        val (domain, target) = nextTarget()
        if (domain == moving && isOut()) lateStarts += 1
        var open = true
        val work =
            RoutingModelWork("$id/$triesLeft", tokens, { firstToken(sentAt) }) { succeeded, _ ->
                if (open && !succeeded && triesLeft > 1) {
                    scenario.after(Duration.ZERO) { callTarget(id, tokens, sentAt, triesLeft - 1) }
                } else if (open && (!succeeded || scenario.now > sentAt.plus(DEADLINE))) {
                    refuse()
                }
                open = false
            }
        target.submit(work)
    }

    private fun nextTarget(): Pair<FailureDomainId, RoutingModelTarget> {
        while (true) {
            val place = turn++ % (domains.size * GROUPS)
            val domain = domains[place % domains.size]
            val weight = weights[domain] ?: 1.0
            if (scenario.random.nextDouble() < weight) return domain to targets.getValue(domain)[place / domains.size]
        }
    }

    private fun isOut(): Boolean =
        scenario.now >= Instant.EPOCH.plus(LEAVES).plus(GRACE) && scenario.now < Instant.EPOCH.plus(RETURNS)

    private fun refuse() {
        refused += 1
        refusedMinutes.add(Duration.between(Instant.EPOCH, scenario.now).toMinutes())
    }

    private fun firstToken(sentAt: Instant) {
        if (Duration.between(sentAt, scenario.now) > LATE) late += 1
        worstGap = maxOf(worstGap, Duration.between(lastFirstToken, scenario.now))
        lastFirstToken = scenario.now
    }

    private fun result(startsWhileOut: Int): MoveResult = MoveResult(
        asked.toDouble(),
        refused.toDouble(),
        refusedMinutes.size.toDouble(),
        late.toDouble(),
        worstGap.toMillis() / MILLISECONDS_PER_SECOND,
        targets.values
            .flatten()
            .sumOf { it.falls }
            .toDouble(),
        startsWhileOut.toDouble(),
    )

    private companion object {
        /** Four groups of four runners, about 17 runners with the spare, in each domain. */
        const val GROUPS = 4
        const val SLOTS = 16
        const val CAPACITY_PER_SECOND = 75.0
        const val SHORTEST_ANSWER = 50
        const val LONGEST_ANSWER = 401
        const val TIMETABLE_STEPS = 6
        const val LONGEST_NEWS_MILLISECONDS = 2_000L
        const val NANOSECONDS_PER_SECOND = 1e9
        const val MILLISECONDS_PER_SECOND = 1_000.0
        val DEADLINE: Duration = Duration.ofSeconds(10)
        val LATE: Duration = Duration.ofSeconds(1)
        val GRACE: Duration = Duration.ofSeconds(3)
        val LIST_LAG: Duration = Duration.ofSeconds(5)
        val LEAVES: Duration = Duration.ofSeconds(60)
        val STOPS: Duration = Duration.ofSeconds(90)
        val RETURNS: Duration = Duration.ofSeconds(180)
        val TIMETABLE: Duration = Duration.ofSeconds(30)
        val RUN: Duration = Duration.ofSeconds(300)
    }
}
