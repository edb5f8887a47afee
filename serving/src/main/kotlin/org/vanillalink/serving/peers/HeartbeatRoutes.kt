/*
 * Determines which peers a daemon sends heartbeats to.
 *
 * Bytes between failure domains are scarce, so only a few daemons of a large failure domain speak with others: its
 * representative, which also lists the daemons that it hears in its own failure domain, and daemons that control any
 * failure domain. They send to the representative of the other failure domain, which passes the message on to the
 * daemons there. Where that fails (the representative has ended or is paused, or a path is cut in one direction), the
 * next daemon gets the message too, and a daemon that hears nothing of a failure domain asks there for direct messages.
 */
package org.vanillalink.serving.peers

import org.vanillalink.model.DaemonId
import org.vanillalink.model.FailureDomainId

/** How a daemon's heartbeats reach a peer. */
enum class HeartbeatPath(
    val isWithinDomain: Boolean,
) {
    WITHIN_DOMAIN(true),

    /** The peer's failure domain isn't known yet; it gets the messages for peers in the own one, less often. */
    UNKNOWN_DOMAIN(true),
    ACROSS_DOMAINS(false),

    /** The peer passes the message on within its failure domain. */
    TO_REPRESENTATIVE(false),

    /** For a peer that may have ended. */
    PROBE(false),
}

/** The heartbeats of the daemon [own] with [status] at [now]. */
class HeartbeatRoutes(
    private val status: OwnStatus,
    private val own: OwnState,
    private val hasSuspects: Boolean,
    private val peers: PeerDirectory,
    private val now: Long,
) {
    private val peersByDomain by lazy(LazyThreadSafetyMode.NONE) {
        peers.states(now).groupBy { it.message.failureDomain }
    }

    /** The other failure domains with daemons, of which no message has arrived for a while. */
    val unheardDomains: Set<FailureDomainId> by lazy(LazyThreadSafetyMode.NONE) {
        peersByDomain.keys.filterTo(HashSet()) { it != own.failureDomain && usesRepresentative(it) && isUnheard(it) }
    }

    /**
     * Returns how to reach each of [known]; peers without a path are sent nothing. [isUrgent] messages go to another
     * daemon of each failure domain too, as a datagram may be lost.
     */
    fun paths(
        known: Collection<DaemonId>,
        isUrgent: Boolean = false,
    ): Map<DaemonId, HeartbeatPath> {
        val acrossDomains = peersByDomain.keys.filter { it != own.failureDomain }.flatMap { pathsTo(it, isUrgent) }
        val byPeer = acrossDomains.toMap(HashMap())
        return known.mapNotNull { peer -> pathTo(peer, byPeer)?.let { peer to it } }.toMap()
    }

    /** Whether messages to [failureDomain] go to its representative. */
    fun usesRepresentative(failureDomain: FailureDomainId): Boolean {
        val domainPeers = peersByDomain[failureDomain].orEmpty()
        return domainPeers.size >= MIN_DAEMONS && domainPeers.all { it.message.canRelay || !peers.isAlive(it, now) }
    }

    private fun pathTo(
        peer: DaemonId,
        acrossDomains: Map<DaemonId, HeartbeatPath>,
    ): HeartbeatPath? = when (peers.failureDomain(peer)) {
        null -> HeartbeatPath.UNKNOWN_DOMAIN
        own.failureDomain -> HeartbeatPath.WITHIN_DOMAIN
        else -> acrossDomains[peer]
    }

    private fun pathsTo(
        failureDomain: FailureDomainId,
        isUrgent: Boolean,
    ): List<Pair<DaemonId, HeartbeatPath>> {
        val domainPeers = peersByDomain.getValue(failureDomain)
        if (!usesRepresentative(failureDomain)) {
            return domainPeers.map { it.message.daemon to HeartbeatPath.ACROSS_DOMAINS }
        }
        val representatives = representatives(failureDomain, isUrgent)
        if (status.isSpeaker) return pathsOfSpeaker(domainPeers, representatives)
        val controllers = domainPeers.filter { hasSuspects && it.message.controlled.isNotEmpty() }
        val asked = if (failureDomain in unheardDomains) representatives else emptyList()
        return asked.map { it to HeartbeatPath.PROBE } +
            controllers.map { it.message.daemon to HeartbeatPath.ACROSS_DOMAINS }
    }

    private fun pathsOfSpeaker(
        domainPeers: List<PeerState>,
        representatives: List<DaemonId>,
    ): List<Pair<DaemonId, HeartbeatPath>> {
        val isAnyAlive = domainPeers.any { peers.isAlive(it, now) }
        val others = if (isAnyAlive) emptyList() else domainPeers
        val asking = domainPeers.filter { own.failureDomain in it.message.unheard && peers.isAlive(it, now) }
        return others.map { it.message.daemon to HeartbeatPath.PROBE } +
            asking.map { it.message.daemon to HeartbeatPath.ACROSS_DOMAINS } +
            representatives.map { it to HeartbeatPath.TO_REPRESENTATIVE }
    }

    /** Whoever passes messages on in [failureDomain], and the next daemon if the first may not do it. */
    private fun representatives(
        failureDomain: FailureDomainId,
        isUrgent: Boolean,
    ): List<DaemonId> {
        val domainPeers = peersByDomain.getValue(failureDomain)
        val candidates =
            domainPeers.filter { peers.isAlive(it, now) && !it.message.isLeaving }.ifEmpty { domainPeers }.sortedWith(
                compareByDescending<PeerState> { peers.termIn(it.message, failureDomain) }
                    .thenByDescending { it.message.isForDomain }
                    .thenBy { peers.rank(failureDomain, it.message.daemon) },
            )
        val first = candidates.first()
        val isDoubtful = now - first.receivedAt > DOUBT_MILLISECONDS || own.failureDomain in first.message.unheard
        return candidates.take(if (isDoubtful || isUrgent) 2 else 1).map { it.message.daemon }
    }

    /** A representative needs the messages themselves, since it passes them on. */
    private fun isUnheard(failureDomain: FailureDomainId): Boolean =
        peers.peers.values.filter { it.message.failureDomain == failureDomain }.none { peer ->
            val heardAt = if (status.representsDomain) peer.heardDirectlyAt else peer.receivedAt
            heardAt != null && now - heardAt < UNHEARD_MILLISECONDS
        }

    companion object {
        /** With fewer daemons in the other failure domain, each of them gets its own message. */
        const val MIN_DAEMONS = 4

        /**
         * Two periods of a representative and half of another: shorter than the liveness timeout, so that its peers
         * hear the other failure domain through the next daemon before they take its controller for lost.
         */
        private const val DOUBT_MILLISECONDS = 500L

        /** Longer than the change to another representative takes. */
        private const val UNHEARD_MILLISECONDS = 2_000L
    }
}
