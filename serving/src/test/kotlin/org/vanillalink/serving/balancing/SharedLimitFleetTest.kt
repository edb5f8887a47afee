package org.vanillalink.serving.balancing

import org.vanillalink.model.DaemonId
import org.vanillalink.model.Endpoint
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.HostId
import org.vanillalink.serving.peers.PeerDirectory
import org.vanillalink.serving.peers.PeerMessage
import org.vanillalink.serving.peers.ReportedDemand
import org.vanillalink.serving.targets.TargetInstance
import kotlin.math.exp
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

private const val STEP_MILLISECONDS = 10L
private const val ANSWER_MILLISECONDS = 150L
private const val HEARTBEAT_MILLISECONDS = 200L
private const val LIMITED_FROM_MILLISECONDS = 10_000L
private const val END_MILLISECONDS = 40_000L

/** From the target: the bound holds this long after a limit was first named, in any window of this length. */
private const val SETTLING_MILLISECONDS = 3_000L
private const val WINDOW_MILLISECONDS = 4_000L

/** The part of a limit that must be used while callers want more than it. */
private const val MIN_USED_FRACTION = 0.8
private const val CAPACITY = "m"

/**
 * Daemons with unequal and shifting loads send requests to targets that name limits. Messages between daemons get lost,
 * and daemons restart and forget everything.
 */
internal class SharedLimitFleetTest {
    // Guards against targets that get far more requests than the limit that they have named.
    @Test
    fun `all daemons together keep each limit while loads shift, messages are lost and daemons restart`() {
        for (seed in 1..SEEDS) {
            val fleet =
                LimitedFleet(Random(seed), daemonCount = listOf(1, 4, 5, 5, 12, 60)[seed % 6], demandFactor = 3.0)
            fleet.run()
            fleet.targets.forEach { target -> assertTrue(target.isWithinBound(), "seed $seed: ${target.describe()}") }
        }
    }

    // Guards against a limit that is kept by sending far less than it allows, while callers are refused.
    @Test
    fun `callers that want twice what the limits allow use them nearly in full, large and small ones`() {
        val fleets =
            (1..SEEDS).map { seed ->
                LimitedFleet(Random(seed), daemonCount = listOf(1, 4, 5, 5)[seed % 4], demandFactor = 2.0, restarts = 0)
            }
        fleets.forEach { it.run() }
        fleets.flatMap { it.targets }.groupBy { it.limit }.forEach { (limit, targets) ->
            val allowed = targets.size * limit * (END_MILLISECONDS - LIMITED_FROM_MILLISECONDS) / 1_000
            val sent = targets.sumOf { target -> target.sentAt.count { it >= LIMITED_FROM_MILLISECONDS } }

            assertTrue(sent >= allowed * MIN_USED_FRACTION, "$sent of $allowed requests to targets that take $limit")
        }
    }

    private companion object {
        const val SEEDS = 30
    }
}

private class LimitedTarget(
    val instance: TargetInstance,
    val limit: Double,
) {
    /** Requests from daemons that have run without interruption for a while. */
    val sentAt = ArrayList<Long>()

    fun isWithinBound() = worstWindow() <= 1.5 * limit * WINDOW_MILLISECONDS / 1_000 + 5

    fun describe() = "${instance.id} with limit $limit got ${worstWindow()} requests in 4 s"

    private fun worstWindow(): Int {
        val counted = sentAt.filter { it >= LIMITED_FROM_MILLISECONDS + SETTLING_MILLISECONDS }
        return counted.maxOfOrNull { start -> counted.count { it in start until start + WINDOW_MILLISECONDS } } ?: 0
    }
}

private class LimitedFleet(
    private val random: Random,
    private val daemonCount: Int,
    demandFactor: Double,
    private val restarts: Int = 4,
) {
    val targets =
        List(random.nextInt(1, 12)) { index ->
            LimitedTarget(TargetInstance(HostId("i-$index"), 1), listOf(0.4, 1.0, 2.7, 4.8, 12.0).random(random))
        }
    private val requestsPerSecond = targets.sumOf { it.limit } * demandFactor
    private val daemons = Array(daemonCount) { SimulatedDaemon(it, startedAt = 0) }
    private var loads = drawLoads()
    private var now = 0L

    fun run() {
        val restartTimes = List(restarts) { random.nextLong(LIMITED_FROM_MILLISECONDS, END_MILLISECONDS) / 10 * 10 }
        val answersDue = ArrayDeque<Pair<Long, () -> Unit>>()
        while (now < END_MILLISECONDS) {
            while (answersDue.isNotEmpty() && answersDue.first().first <= now) answersDue.removeFirst().second()
            if (now % 8_000 == 0L) loads = drawLoads()
            if (now in restartTimes) daemons[random.nextInt(daemonCount)].let { daemons[it.index] = restarted(it) }
            daemons.forEach { daemon ->
                if ((now + daemon.index * 30) % HEARTBEAT_MILLISECONDS == 0L) sendHeartbeat(daemon)
                val expected = requestsPerSecond * loads[daemon.index] * STEP_MILLISECONDS / 1_000
                repeat(poisson(expected)) {
                    daemon.send()?.let { target ->
                        answersDue +=
                            (now + ANSWER_MILLISECONDS) to daemon.answer(target, now)
                    }
                }
            }
            now += STEP_MILLISECONDS
        }
    }

    private fun restarted(daemon: SimulatedDaemon) = SimulatedDaemon(daemon.index, now)

    private fun drawLoads(): List<Double> {
        val weights = List(daemonCount) { random.nextDouble().let { it * it } + 0.02 }
        return weights.map { it / weights.sum() }
    }

    private fun sendHeartbeat(sender: SimulatedDaemon) {
        val message = sender.heartbeat()
        daemons.filter { it !== sender && random.nextInt(10) > 0 }.forEach { it.receive(message) }
    }

    private fun poisson(expected: Double): Int {
        var count = 0
        var product = random.nextDouble()
        while (product > exp(-expected)) {
            count += 1
            product *= random.nextDouble()
        }
        return count
    }

    private inner class SimulatedDaemon(
        val index: Int,
        private val startedAt: Long,
    ) {
        private val id = DaemonId("e-$index")
        private val domain = FailureDomainId("zone")
        private val rateLimiter = TargetRateLimiter()
        private val demand = ModelDemand()
        private var peers = PeerDirectory()
        private var sequence = 0L

        /** Sends one request and returns its target; null if it is refused. */
        fun send(): LimitedTarget? {
            demand.recordRequest(CAPACITY, now)
            val shared = ReportedDemand(id, domain, demand.slotDemand(now), peers, now)
            val open =
                targets.filter { target ->
                    val recentlySent = target.sentAt.count { it > now - 1_000 } / daemonCount
                    rateLimiter.delay(target.instance, CAPACITY, shared, recentlySent, now) == 0L
                }
            val target = open.randomOrNull(random) ?: return null
            rateLimiter.recordSent(target.instance.id)
            if (now - startedAt > SETTLING_MILLISECONDS || startedAt == 0L) target.sentAt += now
            return target
        }

        fun answer(
            target: LimitedTarget,
            sentAt: Long,
        ): () -> Unit = {
            demand.recordCompletion(CAPACITY, ANSWER_MILLISECONDS, now)
            if (now >= LIMITED_FROM_MILLISECONDS) {
                rateLimiter.limits.recordNamed(target.instance, target.limit, now)
            } else {
                rateLimiter.limits.recordUnnamed(target.instance, sentAt, now)
            }
        }

        fun heartbeat(): PeerMessage {
            sequence += 1
            return PeerMessage(
                daemon = id,
                failureDomain = domain,
                endpoint = Endpoint("127.0.0.1", 1),
                startedAt = startedAt,
                sequence = sequence,
                storeAge = 0,
                isLeaving = false,
                period = HEARTBEAT_MILLISECONDS,
                inFlight = emptyMap(),
                demand = demand.slotDemand(now),
                suspects = emptySet(),
                poison = PoisonReport(),
                leaving = emptySet(),
                controlled = emptyList(),
                limits = rateLimiter.limits.report(now),
            )
        }

        fun receive(message: PeerMessage) {
            peers = peers.withMessage(message, now)
            rateLimiter.limits.recordReport(message.limits, now)
        }
    }
}
