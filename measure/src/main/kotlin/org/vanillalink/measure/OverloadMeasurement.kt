/*
 * Goodput, fairness and cost of the router under overload.
 *
 * Callers have a deadline and ask again without limit: when told, or at once where their deadline passed unanswered.
 * The baseline sends round-robin to targets with unbounded queues in order of arrival, and drops nothing.
 */
package org.vanillalink.measure

import org.vanillalink.model.BootId
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.HostId
import org.vanillalink.model.RequestId
import org.vanillalink.model.WorkspaceId
import org.vanillalink.routing.Router
import org.vanillalink.routing.RouterDecision
import org.vanillalink.routing.RouterEvent
import org.vanillalink.routing.RouterState
import org.vanillalink.routing.TargetCandidate
import org.vanillalink.testing.Scenario
import java.time.Duration
import java.time.Instant
import kotlin.random.Random

/** Measures the router at 1, 2 and 5 times the capacity, and its time for each request. */
class OverloadMeasurement : Measurement {
    override val name: String = "overload"

    override fun run(seed: Long): List<Figure> {
        val routed = LOADS.associateWith { OverloadRun(seed, it).routed() }
        val baseline = LOADS.associateWith { OverloadRun(seed, it).roundRobin() }
        return goodput(routed, baseline) + fairness(routed, baseline) + cost()
    }

    private fun goodput(
        routed: Map<Int, OverloadResult>,
        baseline: Map<Int, OverloadResult>,
    ): List<Figure> {
        val each =
            LOADS.flatMap { load ->
                val ours = routed.getValue(load)
                val theirs = baseline.getValue(load)
                listOf(
                    Figure("goodput at ${load}x", ours.goodput, "requests/s", theirs.goodput),
                    Figure("goodput in tokens at ${load}x", ours.tokens, "tokens/s", theirs.tokens),
                )
            }
        val ratio = ratio(routed)
        return each + Figure("goodput at ${LOADS.last()}x over 1x", ratio, "", ratio(baseline), ">= 0.9")
    }

    private fun ratio(results: Map<Int, OverloadResult>): Double =
        results.getValue(LOADS.last()).goodput / results.getValue(LOADS.first()).goodput

    private fun fairness(
        routed: Map<Int, OverloadResult>,
        baseline: Map<Int, OverloadResult>,
    ): List<Figure> {
        val ours = routed.getValue(LOADS.last())
        val theirs = baseline.getValue(LOADS.last())
        return listOf(
            Figure("first calls of small workspaces in time at 5x", ours.smallInTime, "part", theirs.smallInTime),
            Figure("first calls of large workspaces in time at 5x", ours.largeInTime, "part", theirs.largeInTime),
            Figure("taken in when back as told at 5x", ours.takenInWhenBack, "part"),
        )
    }

    private fun cost(): List<Figure> {
        val times = SIZES.map { RoutingCost(it).microseconds() }
        val each = SIZES.zip(times) { size, time -> Figure("router at $size candidates", time, "us/request") }
        return each + Figure("router's slope", slope(times), "us/candidate")
    }

    private fun slope(times: List<Double>): Double {
        val meanSize = SIZES.average()
        val meanTime = times.average()
        val covariance = SIZES.zip(times).sumOf { (size, time) -> (size - meanSize) * (time - meanTime) }
        return covariance / SIZES.sumOf { (it - meanSize) * (it - meanSize) }
    }

    private companion object {
        val LOADS = listOf(1, 2, 5)
        val SIZES = listOf(23, 91, 182, 364)
    }
}

/** What came of one run. */
internal class OverloadResult(
    val goodput: Double,
    val tokens: Double,
    val smallInTime: Double,
    val largeInTime: Double,
    val takenInWhenBack: Double,
)

/** One run at [load] times the capacity. */
private class OverloadRun(
    seed: Long,
    private val load: Int,
) {
    private val scenario = Scenario(seed)

    /** Both policies get the same requests. */
    private val arrivals = Random(seed)
    private val targets = (1..TARGETS).map { RoutingModelTarget(scenario, HostId("h$it"), SLOTS) }
    private var inTime = 0
    private var tokensInTime = 0
    private var calls = 0
    private var turn = 0
    private val firstCalls = HashMap<Boolean, Int>()
    private val firstInTime = HashMap<Boolean, Int>()
    private var back = 0
    private var backInTime = 0

    fun routed(): OverloadResult {
        val daemon = RoutingModelDaemon(scenario, "d1", FailureDomainId("ikeja"), targets)
        daemon.start(emptyList())
        return measure { workspace, tokens -> callRouter(daemon, workspace, tokens, first = true) }
    }

    fun roundRobin(): OverloadResult = measure { workspace, tokens -> callTarget(workspace, tokens, first = true) }

    private fun measure(call: (String, Int) -> Unit): OverloadResult {
        ask(call)
        scenario.run(RUN)
        val seconds = RUN.minus(WARM_UP).toSeconds().toDouble()
        val takenIn = backInTime / maxOf(1.0, back * 1.0)
        return OverloadResult(
            inTime / seconds,
            tokensInTime / seconds,
            part(small = true),
            part(small = false),
            takenIn,
        )
    }

    private fun part(small: Boolean): Double = (firstInTime[small] ?: 0) / maxOf(1.0, (firstCalls[small] ?: 0) * 1.0)

    private fun ask(call: (String, Int) -> Unit) {
        val gap = -Math.log(1 - arrivals.nextDouble()) / (CAPACITY_PER_SECOND * load)
        scenario.after(Duration.ofNanos((gap * NANOSECONDS_PER_SECOND).toLong())) {
            call(workspace(), arrivals.nextInt(SHORTEST_ANSWER, LONGEST_ANSWER))
            ask(call)
        }
    }

    private fun workspace(): String {
        val large = arrivals.nextDouble() < LARGE_PART
        if (large) return "large-${arrivals.nextInt(2)}"
        return "small-${arrivals.nextInt(SMALL_WORKSPACES)}"
    }

    private fun callRouter(
        daemon: RoutingModelDaemon,
        workspace: String,
        tokens: Int,
        first: Boolean,
    ) {
        val sentAt = scenario.now
        val onEnd = { refusal: RoutingModelRefusal? ->
            if (!first) back += 1
            if (!first && refusal == null) backInTime += 1
            if (refusal == null) answered(workspace, tokens, sentAt, first)
            refusal?.retryAfter?.let { scenario.after(it) { callRouter(daemon, workspace, tokens, first = false) } }
            Unit
        }
        if (first) countFirst(workspace, sentAt)
        daemon.call(RoutingModelCall("c${calls++}", workspace, tokens, sentAt.plus(DEADLINE), onEnd = onEnd))
    }

    private fun callTarget(
        workspace: String,
        tokens: Int,
        first: Boolean,
    ) {
        val sentAt = scenario.now
        var open = true
        if (first) countFirst(workspace, sentAt)
        val work =
            RoutingModelWork("c${calls++}", tokens, onFirstToken = {}) { _, _ ->
                if (open) answered(workspace, tokens, sentAt, first)
                open = false
            }
        targets[turn++ % TARGETS].submit(work)
        scenario.after(DEADLINE) {
            if (open) callTarget(workspace, tokens, first = false)
            open = false
        }
    }

    private fun countFirst(
        workspace: String,
        sentAt: Instant,
    ) {
        if (isMeasured(sentAt)) firstCalls.merge(isSmall(workspace), 1, Int::plus)
    }

    private fun answered(
        workspace: String,
        tokens: Int,
        sentAt: Instant,
        first: Boolean,
    ) {
        if (scenario.now > sentAt.plus(DEADLINE)) return
        if (scenario.now >= Instant.EPOCH.plus(WARM_UP)) {
            inTime += 1
            tokensInTime += tokens
        }
        if (first && isMeasured(sentAt)) firstInTime.merge(isSmall(workspace), 1, Int::plus)
    }

    /** Calls near the end have no time left to be answered. */
    private fun isMeasured(sentAt: Instant): Boolean =
        sentAt >= Instant.EPOCH.plus(WARM_UP) && sentAt <= Instant.EPOCH.plus(RUN).minus(DEADLINE)

    private fun isSmall(workspace: String): Boolean = workspace.startsWith("small")

    private companion object {
        const val TARGETS = 12
        const val SLOTS = 16

        /** 12 targets of 16 slots; 225 tokens take 0.22 s and 225 x 10.4 ms at full concurrency. */
        const val CAPACITY_PER_SECOND = 75.0
        const val SHORTEST_ANSWER = 50
        const val LONGEST_ANSWER = 401
        const val LARGE_PART = 0.9
        const val SMALL_WORKSPACES = 8
        const val NANOSECONDS_PER_SECOND = 1e9
        val DEADLINE: Duration = Duration.ofSeconds(8)
        val WARM_UP: Duration = Duration.ofSeconds(20)
        val RUN: Duration = Duration.ofSeconds(80)
    }
}

/** The router's time for one request, from arrival to its end, with [candidates] half in use. */
private class RoutingCost(
    private val candidates: Int,
) {
    private val router = Router()
    private val state = RouterState()
    private val now = Instant.EPOCH

    fun microseconds(): Double {
        repeat(candidates) { feed(RouterEvent.CandidateUpdated(candidate(it))) }
        repeat(candidates * SLOTS / 2) { arrive("old-$it") }
        val rounds = (1..ROUNDS).map { round -> timeOf(round) }
        return rounds.drop(ROUNDS / 2).min()
    }

    private fun timeOf(round: Int): Double {
        val begin = System.nanoTime()
        repeat(REQUESTS) { index ->
            val id = "$round-$index"
            arrive(id)
            feed(RouterEvent.AttemptFinished(RequestId(id), 1, Duration.ofSeconds(1)))
        }
        return (System.nanoTime() - begin) / NANOSECONDS_PER_MICROSECOND / REQUESTS
    }

    private fun candidate(index: Int): TargetCandidate =
        TargetCandidate(HostId("h$index"), BootId("1"), ROUTED_SERVICE, FailureDomainId("ikeja"), SLOTS)

    private fun arrive(id: String) {
        val workspace = WorkspaceId("w")
        feed(RouterEvent.RequestArrived(RequestId(id), ROUTED_SERVICE, workspace, now.plus(DEADLINE)))
    }

    private fun feed(event: RouterEvent): List<RouterDecision> = router.handle(state, event, now).decisions

    private companion object {
        const val SLOTS = 16
        const val ROUNDS = 12
        const val REQUESTS = 5_000
        const val NANOSECONDS_PER_MICROSECOND = 1_000.0
        val DEADLINE: Duration = Duration.ofSeconds(60)
    }
}
