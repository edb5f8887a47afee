/*
 * Tracks the age of the daemon's information on workspace keys, which limits how long it accepts them.
 *
 * A key that an operator revokes must stop working within a time limit, even at a daemon that can't see the change. So
 * a daemon accepts keys only if it has read the configuration recently. The steady clock doesn't show how long the
 * process was suspended; if the two clocks diverge, the last confirmation is void.
 */
package org.vanillalink.serving.catalog

import kotlin.math.abs

/** Simultaneous readings of the steady clock and the wall clock, in milliseconds. */
data class ClockReading(
    val steadyMilliseconds: Long,
    val wallMilliseconds: Long,
) {
    /** The readings [milliseconds] earlier. */
    fun minus(milliseconds: Long) = ClockReading(steadyMilliseconds - milliseconds, wallMilliseconds - milliseconds)
}

/** Holds the time at which the keys were last confirmed to be current. */
data class CredentialFreshness(
    private val confirmedAt: ClockReading? = null,
) {
    /** Returns the state after an answer to a configuration read that was sent at [requestedAt]. */
    fun confirmed(requestedAt: ClockReading): CredentialFreshness {
        val isNewer = confirmedAt == null || requestedAt.steadyMilliseconds >= confirmedAt.steadyMilliseconds
        return if (isNewer) CredentialFreshness(requestedAt) else this
    }

    /** Milliseconds since the last confirmation, or null if there is none or the clocks have diverged since. */
    fun age(now: ClockReading): Long? {
        val lastConfirmation = confirmedAt ?: return null
        val steadyElapsed = now.steadyMilliseconds - lastConfirmation.steadyMilliseconds
        val wallElapsed = now.wallMilliseconds - lastConfirmation.wallMilliseconds
        if (abs(wallElapsed - steadyElapsed) > MAX_CLOCK_DIVERGENCE_MILLISECONDS) return null
        return steadyElapsed
    }

    /** Whether keys may be accepted at [now], given that their confirmation may be [maxAgeMilliseconds] old. */
    fun isFresh(
        now: ClockReading,
        maxAgeMilliseconds: Long,
    ): Boolean = (age(now) ?: Long.MAX_VALUE) < maxAgeMilliseconds

    private companion object {
        /** Larger than the clocks' drift within one age limit, and far below the limits in use (seconds). */
        const val MAX_CLOCK_DIVERGENCE_MILLISECONDS = 300L
    }
}
