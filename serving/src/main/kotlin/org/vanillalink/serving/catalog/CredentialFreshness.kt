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
    private val provedAt: ClockReading? = null,
) {
    /** A read of the configuration that was sent at [sentAt] has been answered. */
    fun proved(sentAt: ClockReading): CredentialFreshness {
        val newer = provedAt == null || sentAt.steadyMilliseconds >= provedAt.steadyMilliseconds
        return if (newer) CredentialFreshness(sentAt) else this
    }

    /** The age of what is known, in milliseconds, or null where nothing can be relied on. */
    fun age(now: ClockReading): Long? {
        val proof = provedAt ?: return null
        val steady = now.steadyMilliseconds - proof.steadyMilliseconds
        val wall = now.wallMilliseconds - proof.wallMilliseconds
        if (abs(wall - steady) > CLOCK_DIFFERENCE_MILLISECONDS) return null
        return steady
    }

    /** Whether keys may be accepted at [now] if knowledge may be [bound] milliseconds old. */
    fun isFresh(
        now: ClockReading,
        bound: Long,
    ): Boolean = (age(now) ?: Long.MAX_VALUE) < bound

    private companion object {
        /** Larger than the clocks' drift within one bound and far below the bounds in use (seconds). */
        const val CLOCK_DIFFERENCE_MILLISECONDS = 300L
    }
}
