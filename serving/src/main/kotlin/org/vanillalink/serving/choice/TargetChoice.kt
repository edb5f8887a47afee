/*
 * Chooses where a request goes.
 */
package org.vanillalink.serving.choice

import org.vanillalink.model.HostId
import kotlin.random.Random

/** A target that could take the request. */
data class Candidate(
    val target: HostId,
    /** Requests under way there, by all daemons. */
    val inFlight: Int,
    /** The most requests under way at which one more would still be answered in time. */
    val limit: Int,
    /** Whether a cold target's allowance has room for one more. */
    val isAdmitted: Boolean,
    /** How much slower than others the target works. */
    val pace: Double = 1.0,
)

/**
 * Chooses the target with the least work; equal ones are chosen at random so that daemons don't move in step.
 *
 * What peers told of their requests is a heartbeat old. A few daemons do best to look at all targets; if many did, all
 * would send to the same one until the next heartbeat, so each looks at a few that it draws anew for each request.
 */
class TargetChoice(
    private val random: Random,
) {
    /**
     * The best of [candidates], or null where none has room. Those with up to [spread] requests more than the best are
     * as good: where many requests move at once, they must not all move to the same target. [daemons] choose at once.
     */
    fun choose(
        candidates: List<Candidate>,
        spread: Int = 0,
        daemons: Int = 1,
    ): Candidate? {
        val open = drawn(candidates.filter { it.isAdmitted && it.inFlight < it.limit }, daemons)
        if (open.isEmpty()) return null
        val least = open.minOf(::work) + spread
        return open.filter { work(it) <= least }.random(random)
    }

    private fun drawn(
        candidates: List<Candidate>,
        daemons: Int,
    ): List<Candidate> {
        val looked = maxOf(LOOKED_AT_LEAST, (candidates.size * DAEMONS_THAT_SEE_ALL + daemons - 1) / daemons)
        return if (looked >= candidates.size) candidates else candidates.shuffled(random).take(looked)
    }

    private fun work(candidate: Candidate): Double = (candidate.inFlight + 1) * candidate.pace

    private companion object {
        /** The better of two drawn at random already avoids the fullest targets (Mitzenmacher, 1996). */
        const val LOOKED_AT_LEAST = 2

        /** Each target is looked at by about so many daemons between two heartbeats. */
        const val DAEMONS_THAT_SEE_ALL = 5
    }
}
