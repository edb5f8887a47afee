package org.vanillalink.serving.balancing

import org.vanillalink.model.DaemonId
import org.vanillalink.model.HostId
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

/**
 * Many daemons that select among 19 groups of a model with 24 slots each. Each knows its own requests, and those of the
 * others as of their last heartbeats.
 */
internal class ManyDaemonsSelectionTest {
    @Test
    fun `requests of many daemons do not pile up on the group with the least load at the last heartbeat`() {
        val queuedShares = (1..SEEDS).map { seed -> queuedFraction(Random(seed), daemons = 32, heartbeat = 440.0) }

        assertTrue(queuedShares.all { it < MAX_QUEUED_FRACTION }, "$queuedShares")
    }

    // Guards against groups that are overrun in turns: each daemon takes the one that was the emptiest a while ago.
    @Test
    fun `load stays even with few and with many daemons, and with counts that are up to two seconds old`() {
        val queuedShares =
            listOf(
                4 to 100.0,
                30 to 400.0,
                30 to 2_000.0,
                100 to 1_200.0,
                100 to 2_000.0,
                450 to 2_000.0,
            ).associateWith {
                queuedFraction(Random(1), daemons = it.first, heartbeat = it.second)
            }

        assertTrue(queuedShares.values.all { it < MAX_QUEUED_FRACTION }, "$queuedShares")
    }

    /** The fraction of requests that find no free slot at their group. */
    private fun queuedFraction(
        random: Random,
        daemons: Int,
        heartbeat: Double,
    ): Double {
        val fleet = Fleet(random, daemons, heartbeat)
        return (1..REQUESTS).count { fleet.hasNoFreeSlot() && it > REQUESTS / 10 }.toDouble() / REQUESTS
    }

    private class Fleet(
        private val random: Random,
        daemons: Int,
        private val heartbeat: Double,
    ) {
        private val groups = List(GROUPS) { HostId("g$it") }
        private val selector = TargetSelector(random)
        private val counts = List(daemons) { InFlightCounts() }
        private val total = HashMap<HostId, Int>()
        private val ends = PriorityQueue<Triple<Double, Int, HostId>>(compareBy { it.first })
        private val heartbeats = PriorityQueue<Pair<Double, Int>>(compareBy { it.first })
        private var now = 0.0

        init {
            counts.indices.forEach { heartbeats += it * heartbeat / daemons to it }
        }

        /** Sends the next request to the group that its daemon selects; returns whether that has no free slot. */
        fun hasNoFreeSlot(): Boolean {
            now += exponential(SERVICE_MILLISECONDS / (GROUPS * SLOTS / 2))
            while ((heartbeats.peek()?.first ?: now) < now) sendHeartbeat()
            while ((ends.peek()?.first ?: now) < now) endRequest()
            val daemon = random.nextInt(counts.size)
            val estimate = counts[daemon].estimate(groups.toSet(), SERVICE_MILLISECONDS, now.toLong())
            val candidates = groups.map { Candidate(it, 0, Int.MAX_VALUE, true, expectedInFlight = estimate.at(it)) }
            val group = selector.select(candidates, estimate.unseenRequests)!!.target
            counts[daemon].recordStart(group)
            ends += Triple(now + exponential(SERVICE_MILLISECONDS), daemon, group)
            return total.merge(group, 1, Int::plus)!! > SLOTS
        }

        private fun sendHeartbeat() {
            val (at, sender) = heartbeats.poll()
            val sent = counts[sender].localCounts()
            val validFor = (heartbeat * 2).toLong()
            counts.filterIndexed { receiver, _ -> receiver != sender }.forEach {
                it.recordPeerCounts(DaemonId("d$sender"), sent, at.toLong(), validFor)
            }
            heartbeats += at + heartbeat to sender
        }

        private fun endRequest() {
            val (_, daemon, group) = ends.poll()
            counts[daemon].recordEnd(group)
            total.merge(group, -1, Int::plus)
        }

        private fun exponential(mean: Double): Double = -mean * ln(1 - random.nextDouble())
    }

    private companion object {
        const val SEEDS = 5
        const val GROUPS = 19
        const val SLOTS = 24
        const val REQUESTS = 20_000
        const val SERVICE_MILLISECONDS = 1_200.0

        /** A queued request is answered late; one in a thousand is far below the losses due to faults. */
        const val MAX_QUEUED_FRACTION = 0.001
    }
}
