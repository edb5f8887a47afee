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

/** Chooses the target with the least work; equal ones are chosen at random so that daemons don't move in step. */
class TargetChoice(
    private val random: Random,
) {
    /**
     * The best of [candidates], or null where none has room. Those with up to [spread] requests more than the best are
     * as good: where many requests move at once, they must not all move to the same target.
     */
    fun choose(
        candidates: List<Candidate>,
        spread: Int = 0,
    ): Candidate? {
        val open = candidates.filter { it.isAdmitted && it.inFlight < it.limit }
        if (open.isEmpty()) return null
        val least = open.minOf(::work) + spread
        return open.filter { work(it) <= least }.random(random)
    }

    private fun work(candidate: Candidate): Double = (candidate.inFlight + 1) * candidate.pace
}
