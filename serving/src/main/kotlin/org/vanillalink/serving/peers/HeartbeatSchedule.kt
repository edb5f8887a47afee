/*
 * Determines how often a daemon sends heartbeats to its peers.
 *
 * The rate of messages that a daemon receives must not grow with the fleet. Within a failure domain, daemons send each
 * other detailed heartbeats, at longer periods the more daemons there are. To other failure domains, one daemon
 * represents its whole domain: the one that has control. The others send there just often enough to show that they are
 * alive.
 */
package org.vanillalink.serving.peers

/** What a daemon's heartbeat periods depend on. */
data class HeartbeatRole(
    /** Whether this daemon represents its failure domain to others, or has control of any failure domain. */
    val isRepresentative: Boolean,
    /** Live daemons in the daemon's failure domain, including itself. */
    val daemonsInDomain: Int,
    val failureDomainCount: Int,
)

/** Calculates periods: the milliseconds between two messages to the same peer. */
object HeartbeatSchedule {
    fun periodWithinDomain(role: HeartbeatRole): Long {
        if (role.isRepresentative) return MIN_PERIOD_MILLISECONDS
        return maxOf(MIN_PERIOD_MILLISECONDS, SPACING_WITHIN_DOMAIN_MILLISECONDS * (role.daemonsInDomain - 1))
    }

    fun periodAcrossDomains(role: HeartbeatRole): Long {
        val otherDomains = maxOf(1, role.failureDomainCount - 1)
        if (role.isRepresentative) return MIN_PERIOD_MILLISECONDS * otherDomains
        val spacedPeriod = SPACING_ACROSS_DOMAINS_MILLISECONDS * otherDomains * role.daemonsInDomain
        return spacedPeriod.coerceIn(MIN_PERIOD_MILLISECONDS, MAX_PERIOD_MILLISECONDS)
    }

    /** For peers that may be anywhere or may have ended; [peerCount] is how many peers there are. */
    fun probePeriod(peerCount: Int): Long = (SPACING_WITHIN_DOMAIN_MILLISECONDS * peerCount)
        .coerceIn(MIN_PERIOD_MILLISECONDS, MAX_PERIOD_MILLISECONDS)

    /** How long a peer with the given [period] counts as alive without a message; tolerates two lost datagrams. */
    fun livenessTimeout(period: Long): Long = maxOf(MIN_LIVENESS_TIMEOUT_MILLISECONDS, period * LIVENESS_PERIODS)

    /** Limits the age of controllers' announcements, which move streams away from broken groups. */
    const val MIN_PERIOD_MILLISECONDS = 100L

    const val MIN_LIVENESS_TIMEOUT_MILLISECONDS = 1_000L

    /** Limits how late other failure domains notice that all daemons of a domain have ended. */
    const val MAX_PERIOD_MILLISECONDS = 5_000L

    /** Milliseconds between two lists of the daemons in a failure domain. */
    const val MEMBERS_PERIOD_MILLISECONDS = 2_000L

    /** At this spacing of peers' messages, a daemon receives 25 per second from its own failure domain. */
    private const val SPACING_WITHIN_DOMAIN_MILLISECONDS = 40L

    /** At this spacing, a daemon receives 20 messages per second from all other failure domains. */
    private const val SPACING_ACROSS_DOMAINS_MILLISECONDS = 50L
    private const val LIVENESS_PERIODS = 3L
}
