/*
 * The last word of each peer, and what follows from all of them: who is alive, who should control a failure domain, and
 * which groups serve.
 */
package org.vanillalink.serving.peers

import org.vanillalink.model.DaemonId
import org.vanillalink.model.FailureDomainId

/** A daemon as its peers see it. */
data class PeerState(
    val message: PeerMessage,
    val receivedAt: Long,
)

/** This daemon's own part in the choice of controllers. */
data class OwnState(
    val daemon: DaemonId,
    val failureDomain: FailureDomainId,
    val storeAge: Long,
    val isLeaving: Boolean,
)

/** What is known of peers; times are milliseconds on the steady clock. */
data class PeerDirectory(
    val peers: Map<DaemonId, PeerState> = emptyMap(),
) {
    /** [message] has arrived; older ones of the same run are passed over. */
    fun withMessage(
        message: PeerMessage,
        now: Long,
    ): PeerDirectory {
        val previous = peers[message.daemon]?.message
        val isOlder =
            previous != null && (
                message.startedAt < previous.startedAt ||
                    (message.startedAt == previous.startedAt && message.sequence <= previous.sequence)
            )
        if (isOlder) return this
        val completed = message.copy(controlled = message.controlled.map { withPreviousGroups(it, previous) })
        return PeerDirectory(peers + (message.daemon to PeerState(completed, now)))
    }

    /** Fills in groups that were told before. Without them the registry's own picture counts for a moment. */
    private fun withPreviousGroups(
        domain: ControlledDomain,
        previous: PeerMessage?,
    ): ControlledDomain {
        if (!domain.isSameAsBefore) return domain
        val previousDomain =
            previous?.controlled?.firstOrNull { it.failureDomain == domain.failureDomain && it.term == domain.term }
        return domain.copy(groups = previousDomain?.groups, isSameAsBefore = false)
    }

    /** Peers heard of lately. */
    fun alivePeers(now: Long): List<PeerState> = peers.values.filter { isAlive(it, now) }

    /** The places asked for by model, of this daemon's callers ([own]) and of those of all live peers. */
    fun slotDemand(
        localDemand: Map<String, Double>,
        now: Long,
    ): Map<String, Double> {
        val total = HashMap(localDemand)
        alivePeers(now).forEach { peer ->
            peer.message.demand.forEach { (model, slots) -> total.merge(model, slots, Double::plus) }
        }
        return total
    }

    /** The failure domain of [peer], or null before it was heard. */
    fun failureDomain(peer: DaemonId): FailureDomainId? = peers[peer]?.message?.failureDomain

    /** Live peers in [failureDomain]. */
    fun peersIn(
        failureDomain: FailureDomainId,
        now: Long,
    ): List<PeerMessage> = alivePeers(now).map { it.message }.filter { it.failureDomain == failureDomain }

    /**
     * Whether [own] tells other failure domains the requests of its own one: it has control there, or nobody inside has
     * and it comes first. There is one such daemon, so that no request is counted twice.
     */
    fun isRepresentative(
        own: OwnState,
        hasControl: Boolean,
        now: Long,
    ): Boolean {
        if (hasControl) return true
        val domainPeers = peersIn(own.failureDomain, now).filterNot { it.isLeaving }
        if (domainPeers.any { termIn(it, own.failureDomain) > 0 }) return false
        return domainPeers.none { rank(own.failureDomain, it.daemon) < rank(own.failureDomain, own.daemon) }
    }

    private fun isAlive(
        peer: PeerState,
        now: Long,
    ): Boolean = now - peer.receivedAt < HeartbeatSchedule.livenessTimeout(peer.message.period)

    /** Daemons that share budgets: all that were heard of within the longest window, and this one. */
    fun budgetDaemons(now: Long): Int = 1 + peers.values.count { now - it.receivedAt < BUDGET_SHARING_MILLISECONDS }

    /**
     * The daemon that should control [domain]: one inside it if there is one, and one that reaches the store if any
     * does. Among those the one that has control keeps it; [ownTerm] is this daemon's term, or 0.
     */
    fun selectController(
        domain: FailureDomainId,
        own: OwnState,
        ownTerm: Long,
        now: Long,
    ): DaemonId? {
        val others = alivePeers(now).map { it.message }
        val candidates =
            others.map {
                ControlCandidate(
                    it.daemon,
                    it.failureDomain,
                    it.storeAge,
                    it.isLeaving,
                    termIn(it, domain),
                )
            } +
                ControlCandidate(own.daemon, own.failureDomain, own.storeAge, own.isLeaving, ownTerm)
        val staying = candidates.filterNot { it.isLeaving }
        val connected = staying.filter { it.storeAge < STORE_FRESH_MILLISECONDS }
        val eligible = if (connected.isEmpty()) staying else staying.filter { it.storeAge < STORE_LOST_MILLISECONDS }
        val preferred = eligible.filter { it.failureDomain == domain }.ifEmpty { eligible }
        val incumbent = preferred.filter { it.term > 0 }.maxByOrNull { it.term }
        return (incumbent ?: preferred.minByOrNull { rank(domain, it.daemon) })?.daemon
    }

    private class ControlCandidate(
        val daemon: DaemonId,
        val failureDomain: FailureDomainId,
        val storeAge: Long,
        val isLeaving: Boolean,
        val term: Long,
    )

    private fun termIn(
        message: PeerMessage,
        domain: FailureDomainId,
    ): Long = message.controlled.firstOrNull { it.failureDomain == domain }?.term ?: 0

    /** The greatest term that a live peer claims for [domain], or null. */
    fun highestClaimedTerm(
        domain: FailureDomainId,
        now: Long,
    ): Long? =
        alivePeers(now).flatMap { it.message.controlled }.filter { it.failureDomain == domain }.maxOfOrNull { it.term }

    /** Live peers that have control of a failure domain. */
    fun controllers(now: Long): Set<DaemonId> =
        alivePeers(now).filter { it.message.controlled.isNotEmpty() }.map { it.message.daemon }.toSet()

    /** The groups of each failure domain by its latest controller among live peers. */
    fun announcedDomains(now: Long): Map<FailureDomainId, ControlledDomain> = alivePeers(now)
        .flatMap { it.message.controlled }
        .groupBy { it.failureDomain }
        .mapValues { (_, claims) -> claims.maxBy { it.term } }

    private fun rank(
        domain: FailureDomainId,
        daemon: DaemonId,
    ): Int = (domain.value + '/' + daemon.value).hashCode()

    private companion object {
        /** Longer than the window of any budget that daemons share. */
        const val BUDGET_SHARING_MILLISECONDS = 12_000L

        /** A daemon that reaches the store is answered at least once in a wait for changes. */
        const val STORE_FRESH_MILLISECONDS = 1_500L

        /**
         * Daemons that lose the store together don't notice at the same moment. The difference between both bounds is
         * larger than a wait for changes, so that none of them takes another for one that still reaches it.
         */
        const val STORE_LOST_MILLISECONDS = 2_900L
    }
}
