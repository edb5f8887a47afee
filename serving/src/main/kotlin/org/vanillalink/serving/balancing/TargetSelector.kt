/*
 * Selects the target of a request among candidates, by load.
 */
package org.vanillalink.serving.balancing

import org.vanillalink.model.HostId
import kotlin.random.Random

/** A target that may be able to take the request. */
data class Candidate(
    val target: HostId,
    /** Requests in flight at the target, from all daemons. */
    val inFlight: Int,
    /** The target is full with this many requests in flight: one more would not be answered in time. */
    val maxInFlight: Int,
    /** Whether the limits of a cold target, and those that the target has named, allow one more request now. */
    val isWithinRateLimits: Boolean,
    /** How much slower the target works than others; 1 is the usual speed. */
    val slowdownFactor: Double = 1.0,
)

/**
 * Selects the candidate with the least load; ties are broken at random so that daemons don't act in lockstep.
 *
 * Request counts of peers are up to one heartbeat old. With few daemons it is best to compare all targets. If many
 * daemons did so, all of them would choose the same target until the next heartbeat, so each compares a random sample,
 * drawn anew for each request.
 */
class TargetSelector(
    private val random: Random,
) {
    /**
     * Returns the best of [candidates], or null if none has room. Candidates with up to [loadTolerance] requests more
     * than the best count as equal, so that requests that are moved at the same time don't all go to one target.
     * [daemonCount] daemons select targets concurrently.
     */
    fun select(
        candidates: List<Candidate>,
        loadTolerance: Int = 0,
        daemonCount: Int = 1,
    ): Candidate? {
        val open = sample(candidates.filter { it.isWithinRateLimits && it.inFlight < it.maxInFlight }, daemonCount)
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
        /** The better of two random candidates already avoids the fullest targets (Mitzenmacher, 1996). */
        const val MIN_SAMPLE_SIZE = 2

        /** About how many daemons have each target in their sample between two heartbeats. */
        const val DAEMONS_SAMPLING_EACH_TARGET = 5
    }
}
