/*
 * How often a daemon tells each peer how it is.
 *
 * What a daemon reads of its peers must not grow with the fleet. Inside a failure domain daemons tell each other in
 * detail, the less often the more of them there are. To other failure domains one daemon speaks for all of its own: the
 * one that has control. The others are heard there just often enough to know that they are alive.
 */
package org.vanillalink.serving.peers

/** A daemon's part in telling peers. */
data class HeartbeatRole(
    /** Whether this daemon speaks for its failure domain, or has control of any. */
    val isRepresentative: Boolean,
    /** Live daemons in its failure domain, itself included. */
    val daemonsInDomain: Int,
    val failureDomainCount: Int,
)

/** Periods are milliseconds between two messages to the same peer. */
object HeartbeatSchedule {
    /** The period towards peers in the same failure domain. */
    fun periodWithinDomain(role: HeartbeatRole): Long {
        if (role.isRepresentative) return MIN_PERIOD_MILLISECONDS
        return maxOf(MIN_PERIOD_MILLISECONDS, SPACING_WITHIN_DOMAIN_MILLISECONDS * (role.daemonsInDomain - 1))
    }

    /** The period towards peers in other failure domains. */
    fun periodAcrossDomains(role: HeartbeatRole): Long {
        val otherDomains = maxOf(1, role.failureDomainCount - 1)
        if (role.isRepresentative) return MIN_PERIOD_MILLISECONDS * otherDomains
        val spacedPeriod = SPACING_ACROSS_DOMAINS_MILLISECONDS * otherDomains * role.daemonsInDomain
        return spacedPeriod.coerceIn(MIN_PERIOD_MILLISECONDS, MAX_PERIOD_MILLISECONDS)
    }

    /** How long a peer that is heard every [period] counts as alive: one or two lost datagrams must not end it. */
    fun livenessTimeout(period: Long): Long = maxOf(MIN_LIVENESS_TIMEOUT_MILLISECONDS, period * LIVENESS_PERIODS)

    /** Bounds how old the word of a controller is, which moves streams away from broken groups. */
    const val MIN_PERIOD_MILLISECONDS = 100L

    /** How long a silent peer counts as alive at least. */
    const val MIN_LIVENESS_TIMEOUT_MILLISECONDS = 1_000L

    /** Bounds how late the end of all daemons of a failure domain is noticed outside. */
    const val MAX_PERIOD_MILLISECONDS = 5_000L

    /** With this pause between peers' messages a daemon reads 25 a second from its own failure domain. */
    private const val SPACING_WITHIN_DOMAIN_MILLISECONDS = 40L

    /** With this pause a daemon reads 20 a second from all other failure domains. */
    private const val SPACING_ACROSS_DOMAINS_MILLISECONDS = 50L
    private const val LIVENESS_PERIODS = 3L
}
