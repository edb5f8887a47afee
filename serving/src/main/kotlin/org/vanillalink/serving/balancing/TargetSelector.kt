/*
 * Chooses where a request goes.
 */
package org.vanillalink.serving.balancing

import org.vanillalink.model.HostId
import kotlin.random.Random

/** A target that could take the request. */
data class Candidate(
    val target: HostId,
    /** Requests under way there, by all daemons. */
    val inFlight: Int,
    /** The most requests under way at which one more would still be answered in time. */
    val maxInFlight: Int,
    /** Whether a cold target's allowance has room for one more. */
    val isWithinColdLimit: Boolean,
    /** How much slower than others the target works. */
    val slowdownFactor: Double = 1.0,
)

/**
 * Chooses the target with the least work; equal ones are chosen at random so that daemons don't move in step.
 *
 * What peers told of their requests is a heartbeat old. A few daemons do best to look at all targets; if many did, all
 * would send to the same one until the next heartbeat, so each looks at a few that it draws anew for each request.
 */
class TargetSelector(
    private val random: Random,
) {
    /**
     * The best of [candidates], or null where none has room. Those with up to [loadTolerance] requests more than the
     * best are as good: where many requests move at once, they must not all move to the same target. [daemonCount]
     * choose at once.
     */
    fun select(
        candidates: List<Candidate>,
        loadTolerance: Int = 0,
        daemonCount: Int = 1,
    ): Candidate? {
        val open = sample(candidates.filter { it.isWithinColdLimit && it.inFlight < it.maxInFlight }, daemonCount)
        if (open.isEmpty()) return null
        val maxLoad = open.minOf(::load) + loadTolerance
        return open.filter { load(it) <= maxLoad }.random(random)
    }

    private fun sample(
        candidates: List<Candidate>,
        daemonCount: Int,
    ): List<Candidate> {
        val sampleSize =
            maxOf(
                MIN_SAMPLE_SIZE,
                (candidates.size * DAEMONS_SAMPLING_EACH_TARGET + daemonCount - 1) / daemonCount,
            )
        return if (sampleSize >= candidates.size) candidates else candidates.shuffled(random).take(sampleSize)
    }

    private fun load(candidate: Candidate): Double = (candidate.inFlight + 1) * candidate.slowdownFactor

    private companion object {
        /** The better of two drawn at random already avoids the fullest targets (Mitzenmacher, 1996). */
        const val MIN_SAMPLE_SIZE = 2

        /** Each target is looked at by about so many daemons between two heartbeats. */
        const val DAEMONS_SAMPLING_EACH_TARGET = 5
    }
}
