package org.vanillalink.serving.balancing

import org.vanillalink.model.HostId
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

/**
 * Simulates many daemons. Each selects by its own exact counts and by those of the others as of their last heartbeat.
 * The scenario has 32 daemons and 19 groups of a model with 24 slots each, at half of their capacity.
 */
internal class ManyDaemonsSelectionTest {
    @Test
    fun `requests of many daemons do not pile up on the group with the least load at the last heartbeat`() {
        val queuedShares = (1..SEEDS).map { seed -> queuedFraction(Random(seed), daemons = DAEMONS) }

        assertTrue(queuedShares.all { it < MAX_QUEUED_FRACTION }, "$queuedShares")
    }

    /** The fraction of requests that find no free slot at their group. */
    private fun queuedFraction(
        random: Random,
        daemons: Int,
    ): Double {
        val selector = TargetSelector(random)
        val local = List(daemons) { IntArray(GROUPS) }
        val sent = List(daemons) { IntArray(GROUPS) }
        val completions = PriorityQueue<Triple<Double, Int, Int>>(compareBy { it.first })
        var now = 0.0
        var queued = 0
        repeat(REQUESTS) { request ->
            val before = now
            now += exponential(random, ARRIVAL_INTERVAL_MILLISECONDS)
            while (completions.isNotEmpty() &&
                completions.peek().first <= now
            ) {
                completions.poll().let { (_, daemon, group) -> local[daemon][group] -= 1 }
            }
            for (peer in 0 until daemons) if (isHeartbeatDue(before, now, peer)) local[peer].copyInto(sent[peer])
            val daemon = random.nextInt(daemons)
            val group = selectGroup(selector, local, sent, daemon)
            if (local.sumOf { it[group] } >= SLOTS && request > REQUESTS / 10) queued += 1
            local[daemon][group] += 1
            completions += Triple(now + exponential(random, SERVICE_TIME_MILLISECONDS), daemon, group)
        }
        return queued.toDouble() / REQUESTS
    }

    private fun selectGroup(
        selector: TargetSelector,
        local: List<IntArray>,
        sent: List<IntArray>,
        daemon: Int,
    ): Int {
        val candidates =
            List(GROUPS) { group ->
                val others = sent.indices.filter { it != daemon }.sumOf { sent[it][group] }
                Candidate(HostId("$group"), local[daemon][group] + others, Int.MAX_VALUE, true)
            }
        return selector
            .select(candidates, daemonCount = local.size)!!
            .target.value
            .toInt()
    }

    private fun isHeartbeatDue(
        from: Double,
        until: Double,
        peer: Int,
    ): Boolean {
        val phase = peer * HEARTBEAT_MILLISECONDS / DAEMONS
        return ((from - phase) / HEARTBEAT_MILLISECONDS).toInt() != ((until - phase) / HEARTBEAT_MILLISECONDS).toInt()
    }

    private fun exponential(
        random: Random,
        mean: Double,
    ): Double = -mean * ln(1 - random.nextDouble())

    private companion object {
        const val SEEDS = 5
        const val DAEMONS = 32
        const val GROUPS = 19
        const val SLOTS = 24
        const val REQUESTS = 20_000
        const val SERVICE_TIME_MILLISECONDS = 1_200.0
        const val ARRIVAL_INTERVAL_MILLISECONDS = SERVICE_TIME_MILLISECONDS / (GROUPS * SLOTS / 2)
        const val HEARTBEAT_MILLISECONDS = 440.0

        /** A queued request is answered late; one in a thousand is far below the losses due to faults. */
        const val MAX_QUEUED_FRACTION = 0.001
    }
}
