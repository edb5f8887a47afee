/*
 * The interval between a daemon's requests to the store for changes of targets. All daemons share the store's capacity
 * and cost, and in a large fleet there are always changes.
 */
package org.vanillalink.gateway.control

import java.time.Duration

internal object RegistryPollInterval {
    /**
     * The pause after a response, where [daemonCount] daemons follow the store. A daemon that has control polls at the
     * minimum interval; the others receive groups from it, and only learn from the store how to reach targets. A target
     * that leaves must get no requests after [drainPeriod].
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

    /** Limits the request rate of one daemon. */
    val MIN_INTERVAL: Duration = Duration.ofMillis(200)

    /** With this interval all daemons together send 25 requests per second, 1/80 of what a small store allows. */
    private val INTERVAL_PER_DAEMON: Duration = Duration.ofMillis(40)
}
