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

    /**
     * The pause of a daemon that peers follow, and of one that follows such a daemon. Both pauses, the wait for changes
     * and the time-out of a peer that doesn't answer are together shorter than [drainPeriod].
     */
    fun computeRelayed(
        isFollower: Boolean,
        drainPeriod: Duration,
    ): Duration {
        val interval = drainPeriod.dividedBy(if (isFollower) FOLLOWER_INTERVALS else PEER_INTERVALS)
        return maxOf(MIN_INTERVAL, interval)
    }

    /** Intervals in a drain period. */
    private const val FOLLOWER_INTERVALS = 4L
    private const val PEER_INTERVALS = 5L

    /** Whether a change still reaches a daemon within [drainPeriod] if the peer that it follows fails just before. */
    fun allowsRelaying(drainPeriod: Duration): Boolean = drainPeriod >= MIN_RELAYED_DRAIN_PERIOD

    private val MIN_RELAYED_DRAIN_PERIOD: Duration = Duration.ofMillis(2_000)

    /** How long the store waits for the first change; limits the age of the confirmed state while nothing changes. */
    val MAX_CHANGE_WAIT: Duration = Duration.ofMillis(1_000)

    /** As [MAX_CHANGE_WAIT], for the targets where peers follow: a target that leaves is known to them later. */
    val MAX_RELAYED_TARGET_WAIT: Duration = Duration.ofMillis(500)

    /** Limits the request rate of one daemon. */
    val MIN_INTERVAL: Duration = Duration.ofMillis(200)

    /** With this interval all daemons together send 25 requests per second, 1/80 of what a small store allows. */
    private val INTERVAL_PER_DAEMON: Duration = Duration.ofMillis(40)
}
