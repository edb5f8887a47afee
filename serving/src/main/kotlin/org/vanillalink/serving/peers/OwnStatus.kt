/*
 * The status that a daemon announces to its peers, and the heartbeat periods.
 */
package org.vanillalink.serving.peers

import org.vanillalink.model.HostId
import org.vanillalink.serving.balancing.ReportedLimit
import org.vanillalink.serving.targets.GroupKey
import org.vanillalink.serving.targets.TargetInstance

/** The status of the daemon [own], which has control of [controlledDomains]; [peers] holds its peers' messages. */
class OwnStatus(
    private val own: OwnState,
    private val peers: PeerDirectory,
    private val controlledDomains: List<ControlledDomain>,
    failureDomainCount: Int,
    private val now: Long,
) {
    private val hasControlOfOwnDomain = controlledDomains.any { it.failureDomain == own.failureDomain }

    /** Whether this daemon represents its failure domain to others. */
    val representsDomain = peers.isRepresentative(own, hasControlOfOwnDomain, now)

    /** Whether other failure domains need this daemon's messages at the representative's rate. */
    val isSpeaker = representsDomain || controlledDomains.isNotEmpty()
    private val role =
        HeartbeatRole(
            isRepresentative = isSpeaker,
            daemonsInDomain = peers.peersIn(own.failureDomain, now).size + 1,
            failureDomainCount = failureDomainCount,
        )

    /** Milliseconds between messages on [path]. */
    fun period(path: HeartbeatPath): Long = when (path) {
        HeartbeatPath.WITHIN_DOMAIN -> HeartbeatSchedule.periodWithinDomain(role)
        HeartbeatPath.ACROSS_DOMAINS, HeartbeatPath.TO_REPRESENTATIVE -> HeartbeatSchedule.periodAcrossDomains(role)
        HeartbeatPath.UNKNOWN_DOMAIN, HeartbeatPath.PROBE -> HeartbeatSchedule.probePeriod(peers.states(now).size)
    }

    /** Which peers to send heartbeats to; [suspects] are the groups that this daemon sees stalled. */
    fun routes(suspects: Set<GroupKey>): HeartbeatRoutes = HeartbeatRoutes(this, own, suspects.isNotEmpty(), peers, now)

    /** The live peers in this daemon's failure domain, for the others. */
    fun members(): List<DomainMember> = if (!representsDomain) {
        emptyList()
    } else {
        peers.peersIn(own.failureDomain, now).map {
            DomainMember(it.daemon, it.endpoint, it.startedAt, it.storeAge, it.isLeaving)
        }
    }

    /** The leaving targets to announce to such peers; [targets] are those that told this daemon. */
    fun leaving(
        isSameDomain: Boolean,
        targets: Set<TargetInstance>,
    ): Set<TargetInstance> {
        val announced =
            if (isSameDomain || !representsDomain) {
                targets
            } else {
                targets + peers.peersIn(own.failureDomain, now).flatMap { it.leaving }
            }
        return announced.take(MAX_LEAVING_TARGETS_PER_MESSAGE).toSet()
    }

    /** The requests in flight by target to announce to such peers; [counts] are this daemon's own requests. */
    fun inFlight(
        isSameDomain: Boolean,
        counts: Map<HostId, Int>,
    ): Map<HostId, Int> = aggregate(isSameDomain, counts, PeerMessage::inFlight, Int::plus)

    /** The slot demand by model or plain service to announce to such peers; [slots] is that of own callers. */
    fun demand(
        isSameDomain: Boolean,
        slots: Map<String, Double>,
    ): Map<String, Double> = aggregate(isSameDomain, slots, PeerMessage::demand, Double::plus)

    /** The limits of targets to report to such peers; [limits] is what this daemon has observed itself. */
    fun limits(
        isSameDomain: Boolean,
        limits: List<ReportedLimit>,
    ): List<ReportedLimit> {
        if (isSameDomain) return limits
        if (!representsDomain) return emptyList()
        return (limits + peers.reportedLimits(own.failureDomain, now))
            .groupBy { it.target.id }
            .map { (_, reports) -> reports.minBy { it.age } }
            .sortedBy { it.age }
            .take(MAX_LIMITS_PER_MESSAGE)
    }

    private fun <K, V : Any> aggregate(
        isSameDomain: Boolean,
        own: Map<K, V>,
        peerValues: (PeerMessage) -> Map<K, V>,
        combine: (V, V) -> V,
    ): Map<K, V> {
        if (isSameDomain) return own
        if (!representsDomain) return emptyMap()
        val total = HashMap(own)
        peers.peersIn(this.own.failureDomain, now).forEach { peer ->
            peerValues(peer).forEach { (key, value) -> total.merge(key, value, combine) }
        }
        return total
    }

    /** The domains that this daemon controls; [withGroups] is false for peers that have already received the groups. */
    fun controlledDomains(withGroups: Boolean): List<ControlledDomain> =
        if (withGroups) controlledDomains else controlledDomains.map { it.copy(groups = null, isSameAsBefore = true) }

    private companion object {
        /** Limits the datagram size; peers learn of the remaining targets from the registry. */
        const val MAX_LEAVING_TARGETS_PER_MESSAGE = 50

        /** Limits the datagram size. */
        const val MAX_LIMITS_PER_MESSAGE = 32
    }
}
