/*
 * Selects the target of a request among candidates, by load.
 */
package org.vanillalink.serving.balancing

import org.vanillalink.model.HostId
import kotlin.random.Random

/** A target that may be able to take the request. */
data class Candidate(
    val target: HostId,
    /** Requests in flight at the target as last announced, from all daemons. */
    val inFlight: Int,
    /** The target is full with this many requests in flight: one more would not be answered in time. */
    val maxInFlight: Int,
    /** Whether the limits of a cold target, and those that the target has named, allow one more request now. */
    val isWithinRateLimits: Boolean,
    /** How much slower the target works than others; 1 is the usual speed. */
    val slowdownFactor: Double = 1.0,
    /** Requests that are probably in flight at the target by now. */
    val expectedInFlight: Double = inFlight.toDouble(),
    /** By how many requests the load counts as larger, since the target is in another failure domain. */
    val distance: Double = 0.0,
    /** With fewer requests than this known there, the target takes one more whatever is expected. */
    val certainRoom: Int = maxInFlight / 2,
) {
    /** Whether the target has room for one more request by what is known, and probably has it by now. */
    val hasRoom: Boolean
        get() = inFlight < maxInFlight && (expectedInFlight < maxInFlight || inFlight < certainRoom)
}

/**
 * Selects a candidate at random, by how much its load lies below the level that all candidates reach once the
 * concurrent requests are distributed evenly.
 *
 * Daemons select targets by counts that are a little old. If each chose the target with the least load, all of them
 * would choose the same one until the next heartbeat. With the level, the requests that are sent meanwhile fill up the
 * targets with the least load to the same height (Dahlin: "Interpreting Stale Load Information", 1999). The fewer
 * requests are unseen, the lower the level: a daemon that knows all requests selects the target with the least load.
 *
 * Bytes between failure domains are dear, and streams to another one break when it is cut off. So a target there is
 * only selected if those nearby have more load by its distance.
 */
class TargetSelector(
    private val random: Random,
) {
    /**
     * Returns one of [candidates], or null if none has room. [concurrentRequests] is how many other requests are
     * probably being sent to the candidates by daemons that know as little of this one as it knows of them.
     */
    fun select(
        candidates: List<Candidate>,
        concurrentRequests: Double = 0.0,
    ): Candidate? {
        val open = candidates.filter { it.isWithinRateLimits && it.hasRoom }
        if (open.isEmpty()) return null
        val level = fillLevel(open, concurrentRequests + 1)
        val rooms = open.map { maxOf(0.0, level / it.slowdownFactor - it.expectedInFlight - it.distance) }
        var remaining = random.nextDouble() * rooms.sum()
        open.zip(rooms).forEach { (candidate, room) ->
            remaining -= room
            if (remaining < 0) return candidate
        }
        return open.minBy(::load)
    }

    /** The load of those of [candidates] that [requests] more requests fill up evenly. */
    private fun fillLevel(
        candidates: List<Candidate>,
        requests: Double,
    ): Double {
        var speed = 0.0
        var expected = 0.0
        var level = 0.0
        candidates.sortedBy(::load).forEach { candidate ->
            if (speed > 0 && level <= load(candidate)) return level
            speed += 1 / candidate.slowdownFactor
            expected += candidate.expectedInFlight + candidate.distance
            level = (expected + requests) / speed
        }
        return level
    }

    private fun load(candidate: Candidate): Double =
        (candidate.expectedInFlight + candidate.distance) * candidate.slowdownFactor
}
