/*
 * How often a daemon tells each peer how it is.
 *
 * What a daemon reads of its peers must not grow with the fleet. Inside a failure domain daemons tell each other in
 * detail, the less often the more of them there are. To other failure domains one daemon speaks for all of its own: the
 * one that has control. The others are heard there just often enough to know that they are alive.
 */
package org.vanillalink.serving.peers

/** A daemon's part in telling peers. */
data class HeartbeatPart(
    /** Whether this daemon speaks for its failure domain, or has control of any. */
    val isSpeaker: Boolean,
    /** Live daemons in its failure domain, itself included. */
    val daemonsInside: Int,
    val failureDomains: Int,
)

/** Periods are milliseconds between two messages to the same peer. */
object HeartbeatSchedule {
    /** The period towards peers in the same failure domain. */
    fun inside(part: HeartbeatPart): Long {
        if (part.isSpeaker) return SHORTEST_MILLISECONDS
        return maxOf(SHORTEST_MILLISECONDS, INSIDE_SPACING_MILLISECONDS * (part.daemonsInside - 1))
    }

    /** The period towards peers in other failure domains. */
    fun outside(part: HeartbeatPart): Long {
        val others = maxOf(1, part.failureDomains - 1)
        if (part.isSpeaker) return SHORTEST_MILLISECONDS * others
        val spaced = OUTSIDE_SPACING_MILLISECONDS * others * part.daemonsInside
        return spaced.coerceIn(SHORTEST_MILLISECONDS, LONGEST_MILLISECONDS)
    }

    /** How long a peer that is heard every [period] counts as alive: one or two lost datagrams must not end it. */
    fun aliveFor(period: Long): Long = maxOf(ALIVE_AT_LEAST_MILLISECONDS, period * PERIODS_ALIVE)

    /** Bounds how old the word of a controller is, which moves streams away from broken groups. */
    const val SHORTEST_MILLISECONDS = 100L

    /** How long a silent peer counts as alive at least. */
    const val ALIVE_AT_LEAST_MILLISECONDS = 1_000L

    /** Bounds how late the end of all daemons of a failure domain is noticed outside. */
    const val LONGEST_MILLISECONDS = 5_000L

    /** With this pause between peers' messages a daemon reads 25 a second from its own failure domain. */
    private const val INSIDE_SPACING_MILLISECONDS = 40L

    /** With this pause a daemon reads 20 a second from all other failure domains. */
    private const val OUTSIDE_SPACING_MILLISECONDS = 50L
    private const val PERIODS_ALIVE = 3L
}
