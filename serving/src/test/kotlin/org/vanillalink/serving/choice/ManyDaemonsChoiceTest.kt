package org.vanillalink.serving.choice

import org.vanillalink.model.HostId
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

/**
 * Pattern: many daemons. Each chooses by its own exact counts and by those of the others as of their last heartbeat, as
 * on the grown sites: 32 daemons, 19 groups of a model with room for 24 requests each, all places half used.
 */
internal class ManyDaemonsChoiceTest {
    @Test
    fun `requests of many daemons do not pile up on the group that was least used at the last heartbeat`() {
        val late = (1..SEEDS).map { seed -> queuedShare(Random(seed), daemons = DAEMONS) }

        assertTrue(late.all { it < QUEUED_SHARE }, "$late")
    }

    /** The share of requests that find no free place at their group. */
    private fun queuedShare(
        random: Random,
        daemons: Int,
    ): Double {
        val choice = TargetChoice(random)
        val own = List(daemons) { IntArray(GROUPS) }
        val told = List(daemons) { IntArray(GROUPS) }
        val ends = PriorityQueue<Triple<Double, Int, Int>>(compareBy { it.first })
        var now = 0.0
        var queued = 0
        repeat(REQUESTS) { request ->
            val before = now
            now += exponential(random, MILLISECONDS_BETWEEN)
            while (ends.isNotEmpty() &&
                ends.peek().first <= now
            ) {
                ends.poll().let { (_, daemon, group) -> own[daemon][group] -= 1 }
            }
            for (peer in 0 until daemons) if (isBetween(before, now, peer)) own[peer].copyInto(told[peer])
            val daemon = random.nextInt(daemons)
            val group = choose(choice, own, told, daemon)
            if (own.sumOf { it[group] } >= SLOTS && request > REQUESTS / 10) queued += 1
            own[daemon][group] += 1
            ends += Triple(now + exponential(random, WORK_MILLISECONDS), daemon, group)
        }
        return queued.toDouble() / REQUESTS
    }

    private fun choose(
        choice: TargetChoice,
        own: List<IntArray>,
        told: List<IntArray>,
        daemon: Int,
    ): Int {
        val candidates =
            List(GROUPS) { group ->
                val others = told.indices.filter { it != daemon }.sumOf { told[it][group] }
                Candidate(HostId("$group"), own[daemon][group] + others, Int.MAX_VALUE, true)
            }
        return choice
            .choose(candidates, daemons = own.size)!!
            .target.value
            .toInt()
    }

    private fun isBetween(
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
        const val WORK_MILLISECONDS = 1_200.0
        const val MILLISECONDS_BETWEEN = WORK_MILLISECONDS / (GROUPS * SLOTS / 2)
        const val HEARTBEAT_MILLISECONDS = 440.0

        /** A request that queues comes late; one in a thousand is far below what faults cost. */
        const val QUEUED_SHARE = 0.001
    }
}
