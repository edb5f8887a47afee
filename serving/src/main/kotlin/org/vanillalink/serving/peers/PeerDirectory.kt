/*
 * The latest message of each peer, and what is derived from them: which peers are alive, which daemon should control a
 * failure domain, and which groups serve.
 */
package org.vanillalink.serving.peers

import org.vanillalink.model.DaemonId
import org.vanillalink.model.FailureDomainId
import org.vanillalink.serving.balancing.ReportedLimit

/** The latest message of a peer. */
data class PeerState(
    val message: PeerMessage,
    val receivedAt: Long,
    /** The limits in the latest message that had any, and when it was received. */
    val limits: List<ReportedLimit> = message.limits,
    val limitsReceivedAt: Long = receivedAt,
)

/** This daemon's own properties that determine which daemon should control a failure domain. */
data class OwnState(
    val daemon: DaemonId,
    val failureDomain: FailureDomainId,
    val storeAge: Long,
    val isLeaving: Boolean,
)

/** Immutable directory of peers; times are milliseconds on the steady clock. */
data class PeerDirectory(
    val peers: Map<DaemonId, PeerState> = emptyMap(),
) {
    /** Returns the directory with [message]; ignores messages of earlier instances or with older sequence numbers. */
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
        return PeerDirectory(peers + (message.daemon to stateAfter(completed, now)))
    }

    private fun stateAfter(
        message: PeerMessage,
        now: Long,
    ): PeerState {
        val previous = peers[message.daemon]
        if (previous == null || message.limits.isNotEmpty()) return PeerState(message, now)
        return PeerState(message, now, previous.limits, previous.limitsReceivedAt)
    }

    /**
     * Fills in groups from the previous message. If there are none, the registry's entries are used until the next one.
     */
    private fun withPreviousGroups(
        domain: ControlledDomain,
        previous: PeerMessage?,
    ): ControlledDomain {
        if (!domain.isSameAsBefore) return domain
        val previousDomain =
            previous?.controlled?.firstOrNull { it.failureDomain == domain.failureDomain && it.term == domain.term }
        return domain.copy(groups = previousDomain?.groups, isSameAsBefore = false)
    }

    /** Peers whose latest message is recent enough for their heartbeat period. */
    fun alivePeers(now: Long): List<PeerState> = peers.values.filter { isAlive(it, now) }

    /** The slot demand by model: [localDemand] of this daemon's callers plus that of all live peers. */
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

    /** The failure domain of [peer], or null before its first message. */
    fun failureDomain(peer: DaemonId): FailureDomainId? = peers[peer]?.message?.failureDomain

    /** The latest messages of live peers in [failureDomain]. */
    fun peersIn(
        failureDomain: FailureDomainId,
        now: Long,
    ): List<PeerMessage> = alivePeers(now).map { it.message }.filter { it.failureDomain == failureDomain }

    /** The limits of targets that live peers in [failureDomain] have reported, with their ages [now]. */
    fun reportedLimits(
        failureDomain: FailureDomainId,
        now: Long,
    ): List<ReportedLimit> = alivePeers(now)
        .filter { it.message.failureDomain == failureDomain }
        .flatMap { peer -> peer.limits.map { it.copy(age = it.age + now - peer.limitsReceivedAt) } }
        .filter { it.age < LIMIT_REPORT_MILLISECONDS }

    /**
     * Whether [own] represents its failure domain: it announces the requests of the domain to others. The
     * representative has control of the domain, or, if no daemon inside has, ranks first. There is only one, so that no
     * request is counted twice.
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

    /** The number of daemons that share budgets: this one and all with a message within the longest budget window. */
    fun budgetDaemons(now: Long): Int = 1 + peers.values.count { sharesBudgets(it, now) }

    /** The latest messages of the peers that share limits; one that left and ended has no more requests. */
    fun sharingMessages(now: Long): List<PeerMessage> = peers.values
        .filter { sharesBudgets(it, now) && (!it.message.isLeaving || isAlive(it, now)) }
        .map { it.message }

    private fun sharesBudgets(
        peer: PeerState,
        now: Long,
    ): Boolean = now - peer.receivedAt < BUDGET_SHARING_MILLISECONDS

    /**
     * Returns the daemon that should control [domain], or null if none can. Daemons that reach the store are required
     * if there are any, and daemons inside the domain are preferred. A candidate that already has control keeps it.
     * [ownTerm] is this daemon's term, or 0.
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

    /** The term in which the sender of [message] controls [domain], or 0. */
    fun termIn(
        message: PeerMessage,
        domain: FailureDomainId,
    ): Long = message.controlled.firstOrNull { it.failureDomain == domain }?.term ?: 0

    /** The highest term that a live peer claims for [domain], or null. */
    fun highestClaimedTerm(
        domain: FailureDomainId,
        now: Long,
    ): Long? =
        alivePeers(now).flatMap { it.message.controlled }.filter { it.failureDomain == domain }.maxOfOrNull { it.term }

    /** Live peers that have control of a failure domain. */
    fun controllers(now: Long): Set<DaemonId> =
        alivePeers(now).filter { it.message.controlled.isNotEmpty() }.map { it.message.daemon }.toSet()

    /** The announcement for each failure domain of the live peer with the highest term. */
    fun announcedDomains(now: Long): Map<FailureDomainId, ControlledDomain> = alivePeers(now)
        .flatMap { it.message.controlled }
        .groupBy { it.failureDomain }
        .mapValues { (_, claims) -> claims.maxBy { it.term } }

    /** Orders the daemons that could control or represent [domain]; the lowest comes first. */
    fun rank(
        domain: FailureDomainId,
        daemon: DaemonId,
    ): Int = (domain.value + '/' + daemon.value).hashCode()

    internal companion object {
        /** Longer than the window of any budget that daemons share. */
        const val BUDGET_SHARING_MILLISECONDS = 12_000L

        /** Peers report limits again within a few seconds; older ones may have ended. */
        const val LIMIT_REPORT_MILLISECONDS = 10_000L

        /** A daemon that reaches the store gets at least one answer within a wait for changes. */
        const val STORE_FRESH_MILLISECONDS = 1_500L

        /**
         * Daemons that lose the store together don't notice it at the same time. The difference between the two limits
         * is larger than a wait for changes, so that no daemon mistakes another for one that still reaches the store.
         */
        const val STORE_LOST_MILLISECONDS = 2_900L
    }
}
