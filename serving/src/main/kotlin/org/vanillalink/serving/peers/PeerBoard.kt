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
    val heardAt: Long,
)

/** This daemon's own part in the choice of controllers. */
data class OwnState(
    val daemon: DaemonId,
    val failureDomain: FailureDomainId,
    val storeAge: Long,
    val isLeaving: Boolean,
)

/** What is known of peers; times are milliseconds on the steady clock. */
data class PeerBoard(
    val peers: Map<DaemonId, PeerState> = emptyMap(),
) {
    /** [message] has arrived; older ones of the same run are passed over. */
    fun heard(
        message: PeerMessage,
        now: Long,
    ): PeerBoard {
        val known = peers[message.daemon]?.message
        val isOlder =
            known != null && (
                message.startedAt < known.startedAt ||
                    (message.startedAt == known.startedAt && message.sequence <= known.sequence)
            )
        if (isOlder) return this
        val whole = message.copy(controlled = message.controlled.map { completed(it, known) })
        return PeerBoard(peers + (message.daemon to PeerState(whole, now)))
    }

    /** Fills in groups that were told before. Without them the registry's own picture counts for a moment. */
    private fun completed(
        domain: ControlledDomain,
        known: PeerMessage?,
    ): ControlledDomain {
        if (!domain.isSameAsBefore) return domain
        val before =
            known?.controlled?.firstOrNull { it.failureDomain == domain.failureDomain && it.term == domain.term }
        return domain.copy(groups = before?.groups, isSameAsBefore = false)
    }

    /** Peers heard of lately. */
    fun alive(now: Long): List<PeerState> = peers.values.filter { isAlive(it, now) }

    /** The places asked for by model, of this daemon's callers ([own]) and of those of all live peers. */
    fun demand(
        own: Map<String, Double>,
        now: Long,
    ): Map<String, Double> {
        val sum = HashMap(own)
        alive(now).forEach { peer ->
            peer.message.demand.forEach { (model, places) -> sum.merge(model, places, Double::plus) }
        }
        return sum
    }

    /** The failure domain of [peer], or null before it was heard. */
    fun failureDomain(peer: DaemonId): FailureDomainId? = peers[peer]?.message?.failureDomain

    /** Live peers in [failureDomain]. */
    fun inside(
        failureDomain: FailureDomainId,
        now: Long,
    ): List<PeerMessage> = alive(now).map { it.message }.filter { it.failureDomain == failureDomain }

    /**
     * Whether [own] tells other failure domains the requests of its own one: it has control there, or nobody inside has
     * and it comes first. There is one such daemon, so that no request is counted twice.
     */
    fun isSpeaker(
        own: OwnState,
        hasControl: Boolean,
        now: Long,
    ): Boolean {
        if (hasControl) return true
        val inside = inside(own.failureDomain, now).filterNot { it.isLeaving }
        if (inside.any { termOf(it, own.failureDomain) > 0 }) return false
        return inside.none { rank(own.failureDomain, it.daemon) < rank(own.failureDomain, own.daemon) }
    }

    private fun isAlive(
        peer: PeerState,
        now: Long,
    ): Boolean = now - peer.heardAt < HeartbeatSchedule.aliveFor(peer.message.period)

    /** Daemons that share budgets: all that were heard of within the longest window, and this one. */
    fun sharers(now: Long): Int = 1 + peers.values.count { now - it.heardAt < SHARER_MILLISECONDS }

    /**
     * The daemon that should control [domain]: one inside it if there is one, and one that reaches the store if any
     * does. Among those the one that has control keeps it; [ownTerm] is this daemon's term, or 0.
     */
    fun controllerFor(
        domain: FailureDomainId,
        own: OwnState,
        ownTerm: Long,
        now: Long,
    ): DaemonId? {
        val others = alive(now).map { it.message }
        val candidates =
            others.map { Contender(it.daemon, it.failureDomain, it.storeAge, it.isLeaving, termOf(it, domain)) } +
                Contender(own.daemon, own.failureDomain, own.storeAge, own.isLeaving, ownTerm)
        val staying = candidates.filterNot { it.isLeaving }
        val reaching = staying.filter { it.storeAge < STORE_FRESH_MILLISECONDS }
        val able = if (reaching.isEmpty()) staying else staying.filter { it.storeAge < STORE_LOST_MILLISECONDS }
        val near = able.filter { it.failureDomain == domain }.ifEmpty { able }
        val holder = near.filter { it.term > 0 }.maxByOrNull { it.term }
        return (holder ?: near.minByOrNull { rank(domain, it.daemon) })?.daemon
    }

    private class Contender(
        val daemon: DaemonId,
        val failureDomain: FailureDomainId,
        val storeAge: Long,
        val isLeaving: Boolean,
        val term: Long,
    )

    private fun termOf(
        message: PeerMessage,
        domain: FailureDomainId,
    ): Long = message.controlled.firstOrNull { it.failureDomain == domain }?.term ?: 0

    /** The greatest term that a live peer claims for [domain], or null. */
    fun claimedTerm(
        domain: FailureDomainId,
        now: Long,
    ): Long? =
        alive(now).flatMap { it.message.controlled }.filter { it.failureDomain == domain }.maxOfOrNull { it.term }

    /** Live peers that have control of a failure domain. */
    fun controllers(now: Long): Set<DaemonId> =
        alive(now).filter { it.message.controlled.isNotEmpty() }.map { it.message.daemon }.toSet()

    /** The groups of each failure domain by its latest controller among live peers. */
    fun announced(now: Long): Map<FailureDomainId, ControlledDomain> = alive(now)
        .flatMap { it.message.controlled }
        .groupBy { it.failureDomain }
        .mapValues { (_, claims) -> claims.maxBy { it.term } }

    private fun rank(
        domain: FailureDomainId,
        daemon: DaemonId,
    ): Int = (domain.value + '/' + daemon.value).hashCode()

    private companion object {
        /** Longer than the window of any budget that daemons share. */
        const val SHARER_MILLISECONDS = 12_000L

        /** A daemon that reaches the store is answered at least once in a wait for changes. */
        const val STORE_FRESH_MILLISECONDS = 1_500L

        /**
         * Daemons that lose the store together don't notice at the same moment. The difference between both bounds is
         * larger than a wait for changes, so that none of them takes another for one that still reaches it.
         */
        const val STORE_LOST_MILLISECONDS = 2_900L
    }
}
