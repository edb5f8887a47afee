/*
 * How long a daemon waits before it asks the store for further changes of targets. The store and its price are shared
 * by all daemons, and in a large fleet something always changes.
 */
package org.vanillalink.gateway.control

import java.time.Duration

internal object RegistryPollInterval {
    /**
     * The pause after an answer, where [daemonCount] follow the store. A daemon that decides about groups asks
     * promptly; the others hear of groups from it, and only learn from the store what they reach targets by. A target
     * that leaves must get nothing more after [drainPeriod].
     */
    fun compute(
        hasControl: Boolean,
        daemonCount: Int,
        drainPeriod: Duration,
    ): Duration {
        if (hasControl) return MIN_INTERVAL
        return INTERVAL_PER_DAEMON
            .multipliedBy(daemonCount.toLong())
            .coerceIn(MIN_INTERVAL, maxOf(MIN_INTERVAL, drainPeriod.dividedBy(2)))
    }

    /** Bounds the calls of one daemon. */
    val MIN_INTERVAL: Duration = Duration.ofMillis(200)

    /** With this pause between them all daemons ask 25 times a second, an eightieth of what a small store allows. */
    private val INTERVAL_PER_DAEMON: Duration = Duration.ofMillis(40)
}
