/*
 * How long a daemon waits before it asks the store for further changes of targets. The store and its price are shared
 * by all daemons, and in a large fleet something always changes.
 */
package org.vanillalink.gateway.control

import java.time.Duration

internal object RegistryPace {
    /**
     * The pause after an answer, where [daemons] follow the store. A daemon that decides about groups asks promptly;
     * the others hear of groups from it, and only learn from the store what they reach targets by. A target that leaves
     * must get nothing more after [drain].
     */
    fun pause(
        hasControl: Boolean,
        daemons: Int,
        drain: Duration,
    ): Duration {
        if (hasControl) return SHORTEST
        return SPACING.multipliedBy(daemons.toLong()).coerceIn(SHORTEST, maxOf(SHORTEST, drain.dividedBy(2)))
    }

    /** Bounds the calls of one daemon. */
    val SHORTEST: Duration = Duration.ofMillis(200)

    /** With this pause between them all daemons ask 25 times a second, an eightieth of what a small store allows. */
    private val SPACING: Duration = Duration.ofMillis(40)
}
