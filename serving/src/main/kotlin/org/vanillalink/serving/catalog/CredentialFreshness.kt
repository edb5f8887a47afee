/*
 * How old the daemon's knowledge of workspaces' keys may be before it stops to accept them.
 *
 * A key that an operator takes away must stop working within a bound, also at a daemon that can't see the change. So a
 * daemon accepts keys only while it can show that it has read the configuration lately. A process that was suspended
 * can't tell from the steady clock how long; a difference between both clocks voids what it knew.
 */
package org.vanillalink.serving.catalog

import kotlin.math.abs

/** Readings of the steady clock and of the time of day, in milliseconds. */
data class ClockReading(
    val steadyMilliseconds: Long,
    val wallMilliseconds: Long,
)

/** When the keys were last known to be current. */
data class CredentialFreshness(
    private val confirmedAt: ClockReading? = null,
) {
    /** A read of the configuration that was sent at [requestedAt] has been answered. */
    fun confirmed(requestedAt: ClockReading): CredentialFreshness {
        val isNewer = confirmedAt == null || requestedAt.steadyMilliseconds >= confirmedAt.steadyMilliseconds
        return if (isNewer) CredentialFreshness(requestedAt) else this
    }

    /** The age of what is known, in milliseconds, or null where nothing can be relied on. */
    fun age(now: ClockReading): Long? {
        val lastConfirmation = confirmedAt ?: return null
        val steadyElapsed = now.steadyMilliseconds - lastConfirmation.steadyMilliseconds
        val wallElapsed = now.wallMilliseconds - lastConfirmation.wallMilliseconds
        if (abs(wallElapsed - steadyElapsed) > MAX_CLOCK_DIVERGENCE_MILLISECONDS) return null
        return steadyElapsed
    }

    /** Whether keys may be accepted at [now] if knowledge may be [maxAgeMilliseconds] milliseconds old. */
    fun isFresh(
        now: ClockReading,
        maxAgeMilliseconds: Long,
    ): Boolean = (age(now) ?: Long.MAX_VALUE) < maxAgeMilliseconds

    private companion object {
        /** Larger than the clocks' drift within one bound and far below the bounds in use (seconds). */
        const val MAX_CLOCK_DIVERGENCE_MILLISECONDS = 300L
    }
}
