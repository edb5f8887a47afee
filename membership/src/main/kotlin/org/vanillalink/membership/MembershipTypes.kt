/*
 * What a daemon knows of its peers, is told and wants done.
 */
package org.vanillalink.membership

import org.vanillalink.model.BootId
import org.vanillalink.model.DaemonId
import org.vanillalink.model.Endpoint
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.FencingNumber
import org.vanillalink.model.ServiceName
import java.time.Duration
import java.time.Instant

/** What is thought of a peer. SUSPECTED and SILENT peers were not heard of for some heartbeats. */
enum class PeerStatus { ALIVE, SUSPECTED, SILENT, LEAVING }

/**
 * A peer daemon. [acknowledgedChange] is the local change count up to which the peer has everything. [restated] is when
 * it was last sent everything. [configurationRevision] is null while the peer has none in force.
 */
data class PeerState(
    val identity: DaemonIdentity,
    val status: PeerStatus,
    val lastReceivedAt: Instant,
    val nextHeartbeatAt: Instant,
    val acknowledgedChange: Long = 0,
    val fullStateSentAt: Instant? = null,
    val configurationRevision: Long? = null,
    val heldFencingNumber: FencingNumber? = null,
)

/** What changes at this daemon and is told to others. [heldFencingNumber] is null unless it holds control. */
data class LocalState(
    val configurationRevision: Long? = null,
    val confirmedAt: Instant? = null,
    val heldFencingNumber: FencingNumber? = null,
)

/** Everything that the membership rules know. */
data class MembershipState(
    val identity: DaemonIdentity,
    val seeds: List<Endpoint>,
    val local: LocalState = LocalState(),
    val leaving: Boolean = false,
    val peers: Map<DaemonId, PeerState> = emptyMap(),
    val gossip: GossipStore = GossipStore(),
    val nextSeedHeartbeatAt: Instant = Instant.EPOCH,
    val nextRemoteHeartbeatAt: Instant = Instant.EPOCH,
    val remoteRound: Int = 0,
) {
    /** Daemons of this failure domain that are heard of and stay, with this one unless it leaves. */
    val activeDaemons: List<DaemonId>
        get() {
            val others =
                peers.values
                    .filter { isInSameDomain(it) && it.status in ACTIVE_STATUSES }
                    .map { it.identity.daemon }
            return if (leaving) others.sorted() else (others + identity.daemon).sorted()
        }

    /** Whether [peer] is in this failure domain. */
    fun isInSameDomain(peer: PeerState): Boolean = peer.identity.failureDomain == identity.failureDomain

    /** Whether this daemon is one of the few of its failure domain that poll the platform's configuration. */
    fun isConfigurationPoller(count: Int): Boolean =
        identity.daemon in RendezvousHash.choose("configuration-poller", activeDaemons, count)

    /** What [failureDomain] offered and how old that is; null where nothing was heard. */
    fun services(
        failureDomain: FailureDomainId,
        now: Instant,
    ): AgedServices? {
        val entry = gossip.entries["services/$failureDomain"] ?: return null
        val payload = entry.payload as? GossipPayload.Services ?: return null
        return AgedServices(payload.services, Duration.between(entry.createdAt, now))
    }

    /** The highest fencing number heard of for [failureDomain]. */
    fun highestFencingNumber(failureDomain: FailureDomainId): FencingNumber {
        val payload = gossip.entries["control/$failureDomain"]?.payload as? GossipPayload.Control
        return payload?.fencingNumber ?: FencingNumber.NONE
    }

    /** The strikes that have not expired. */
    fun strikes(): List<GossipPayload.Strike> = gossip.entries.values.mapNotNull { it.payload as? GossipPayload.Strike }

    /** Daemons of [failureDomain] to which traffic can be handed, those heard of last first. */
    fun contacts(failureDomain: FailureDomainId): List<PeerState> = peers.values
        .filter { it.identity.failureDomain == failureDomain && it.status in ACTIVE_STATUSES }
        .sortedWith(compareByDescending<PeerState> { it.lastReceivedAt }.thenBy { it.identity.daemon })

    companion object {
        private val ACTIVE_STATUSES = setOf(PeerStatus.ALIVE, PeerStatus.SUSPECTED)
    }
}

/** Aggregates of a failure domain, [age] old. */
data class AgedServices(
    val services: Map<ServiceName, ServiceAggregate>,
    val age: Duration,
)

/**
 * What one daemon tells another; JSON. [change] is the sender's change count and comes back in the answer. Only [items]
 * that the receiver isn't known to have are included, all of them where [whole].
 */
data class Heartbeat(
    val identity: DaemonIdentity,
    val change: Long,
    val whole: Boolean,
    val configurationRevision: Long? = null,
    val confirmedAgeMilliseconds: Long? = null,
    val heldFencingNumber: FencingNumber? = null,
    val leaving: Boolean = false,
    val items: List<GossipItem> = emptyList(),
)

/** The answer to a heartbeat; JSON. [change] repeats the heartbeat's; [identity] is told to a sender that lacks it. */
data class HeartbeatAnswer(
    val daemon: DaemonId,
    val boot: BootId,
    val change: Long,
    val configurationRevision: Long? = null,
    val confirmedAgeMilliseconds: Long? = null,
    val heldFencingNumber: FencingNumber? = null,
    val identity: DaemonIdentity? = null,
)

/** What the membership rules are told. */
sealed interface MembershipEvent {
    /** Time passed; to be fed every 0.2 s or so. */
    data object Tick : MembershipEvent

    /** [heartbeat] arrived; the daemon answers it with [MembershipDecision.AnswerHeartbeat]. */
    data class HeartbeatReceived(
        val heartbeat: Heartbeat,
    ) : MembershipEvent

    /** [answer] to a heartbeat arrived. */
    data class HeartbeatAnswered(
        val answer: HeartbeatAnswer,
    ) : MembershipEvent

    /** A heartbeat to [endpoint] got no answer. */
    data class HeartbeatFailed(
        val endpoint: Endpoint,
    ) : MembershipEvent

    /** This daemon's own state changed; with [urgent], peers of the failure domain that lag hear of it at once. */
    data class LocalStateChanged(
        val local: LocalState,
        val urgent: Boolean = false,
    ) : MembershipEvent

    /** This daemon speaks for its failure domain and has counted what it offers. */
    data class ServicesAggregated(
        val services: Map<ServiceName, ServiceAggregate>,
        val fencingNumber: FencingNumber,
    ) : MembershipEvent

    /** A fencing number of [failureDomain] was seen in the table or in a target's report. */
    data class FencingNumberObserved(
        val failureDomain: FailureDomainId,
        val fencingNumber: FencingNumber,
    ) : MembershipEvent

    /** A request failed a target here; all daemons are to know. */
    data class StrikeRecorded(
        val strike: GossipPayload.Strike,
    ) : MembershipEvent

    /** The daemon begins a graceful shutdown. */
    data object LeavingStarted : MembershipEvent
}

/** What the membership rules want done. */
sealed interface MembershipDecision {
    /** Post [heartbeat] to [endpoint]; feed HeartbeatAnswered or HeartbeatFailed. */
    data class SendHeartbeat(
        val endpoint: Endpoint,
        val heartbeat: Heartbeat,
    ) : MembershipDecision

    /** Answer the heartbeat just received. */
    data class AnswerHeartbeat(
        val answer: HeartbeatAnswer,
    ) : MembershipDecision

    /** [peer] has [revision] in force: feed the configuration's replica. */
    data class RevisionReceived(
        val peer: DaemonId,
        val revision: Long,
        val confirmedAge: Duration?,
    ) : MembershipDecision

    /** Somebody told of a higher fencing number of [failureDomain]. */
    data class FencingNumberReceived(
        val failureDomain: FailureDomainId,
        val fencingNumber: FencingNumber,
    ) : MembershipDecision

    /** Somebody told of a strike that wasn't known here. */
    data class StrikeReceived(
        val strike: GossipPayload.Strike,
    ) : MembershipDecision

    /** The set of heard daemons of this failure domain is now [daemons]. */
    data class ActiveDaemonsChanged(
        val daemons: List<DaemonId>,
    ) : MembershipDecision

    /** Write a line to the time line: [peer] is [change]. */
    data class RecordPeerChange(
        val peer: DaemonIdentity,
        val change: PeerChange,
    ) : MembershipDecision
}

/** What became of a peer. */
enum class PeerChange { JOINED, SILENT, RETURNED, RESTARTED, LEAVING }
