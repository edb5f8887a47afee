/*
 * State, messages, events and decisions of the membership protocol.
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

/** Status of a peer. From a SUSPECTED or SILENT peer no message arrived for several heartbeat intervals. */
enum class PeerStatus { ALIVE, SUSPECTED, SILENT, LEAVING }

/**
 * A peer daemon. [acknowledgedChange] is the local change count up to which the peer has acknowledged all items.
 * [fullStateSentAt] is when it was last sent the full state. [configurationRevision] is null while the peer has no
 * configuration in force.
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

/**
 * State of this daemon that heartbeats report to peers. [confirmedAt] is when the configuration was last confirmed as
 * current. [heldFencingNumber] is null unless this daemon holds control.
 */
data class LocalState(
    val configurationRevision: Long? = null,
    val confirmedAt: Instant? = null,
    val heldFencingNumber: FencingNumber? = null,
)

/** State of the [Membership] aggregate. */
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
    /** Sorted daemons of this failure domain that are alive or suspected, with this one unless it is leaving. */
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

    /** Whether this daemon is one of the [count] of its failure domain that poll the platform's configuration. */
    fun isConfigurationPoller(count: Int): Boolean =
        identity.daemon in RendezvousHash.choose("configuration-poller", activeDaemons, count)

    /** Returns the capacity that [failureDomain] last reported and its age; null if none was received. */
    fun services(
        failureDomain: FailureDomainId,
        now: Instant,
    ): AgedServices? {
        val entry = gossip.entries["services/$failureDomain"] ?: return null
        val payload = entry.payload as? GossipPayload.Services ?: return null
        return AgedServices(payload.services, Duration.between(entry.createdAt, now))
    }

    /** Returns the highest fencing number received for [failureDomain]. */
    fun highestFencingNumber(failureDomain: FailureDomainId): FencingNumber {
        val payload = gossip.entries["control/$failureDomain"]?.payload as? GossipPayload.Control
        return payload?.fencingNumber ?: FencingNumber.NONE
    }

    /** Returns the stored strikes; expired ones are removed at each tick. */
    fun strikes(): List<GossipPayload.Strike> = gossip.entries.values.mapNotNull { it.payload as? GossipPayload.Strike }

    /** Returns daemons of [failureDomain] that can take traffic, the most recently received from first. */
    fun contacts(failureDomain: FailureDomainId): List<PeerState> = peers.values
        .filter { it.identity.failureDomain == failureDomain && it.status in ACTIVE_STATUSES }
        .sortedWith(compareByDescending<PeerState> { it.lastReceivedAt }.thenBy { it.identity.daemon })

    companion object {
        private val ACTIVE_STATUSES = setOf(PeerStatus.ALIVE, PeerStatus.SUSPECTED)
    }
}

/** Aggregates of a failure domain; [age] is the time since they were published. */
data class AgedServices(
    val services: Map<ServiceName, ServiceAggregate>,
    val age: Duration,
)

/**
 * The periodic message between daemons; JSON. [change] is the sender's change count, which the answer acknowledges.
 * [items] are those that the receiver has not acknowledged, or the full state if [whole].
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

/**
 * The answer to a heartbeat; JSON. [change] repeats the heartbeat's. [identity] is included if that is 0, as in the
 * first message to a seed, whose sender does not know the receiver yet.
 */
data class HeartbeatAnswer(
    val daemon: DaemonId,
    val boot: BootId,
    val change: Long,
    val configurationRevision: Long? = null,
    val confirmedAgeMilliseconds: Long? = null,
    val heldFencingNumber: FencingNumber? = null,
    val identity: DaemonIdentity? = null,
)

/** An event for [Membership]. */
sealed interface MembershipEvent {
    /** Time passed; expected about every 0.2 s. */
    data object Tick : MembershipEvent

    /** [heartbeat] arrived; its answer follows as [MembershipDecision.AnswerHeartbeat]. */
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

    /**
     * This daemon's own state changed. If [urgent], alive peers of the failure domain with an older configuration
     * revision are sent a heartbeat at once.
     */
    data class LocalStateChanged(
        val local: LocalState,
        val urgent: Boolean = false,
    ) : MembershipEvent

    /** This daemon represents its failure domain and has aggregated the domain's capacity. */
    data class ServicesAggregated(
        val services: Map<ServiceName, ServiceAggregate>,
        val fencingNumber: FencingNumber,
    ) : MembershipEvent

    /** A fencing number of [failureDomain] was read from the table or from a target's report. */
    data class FencingNumberObserved(
        val failureDomain: FailureDomainId,
        val fencingNumber: FencingNumber,
    ) : MembershipEvent

    /** This daemon attributed a target failure to a request; the strike is sent to all daemons. */
    data class StrikeRecorded(
        val strike: GossipPayload.Strike,
    ) : MembershipEvent

    /** The daemon begins a graceful shutdown. */
    data object LeavingStarted : MembershipEvent
}

/** An action that [Membership] requests. */
sealed interface MembershipDecision {
    /**
     * Post [heartbeat] to [endpoint], then feed [MembershipEvent.HeartbeatAnswered] or
     * [MembershipEvent.HeartbeatFailed].
     */
    data class SendHeartbeat(
        val endpoint: Endpoint,
        val heartbeat: Heartbeat,
    ) : MembershipDecision

    /** Answer the heartbeat just received. */
    data class AnswerHeartbeat(
        val answer: HeartbeatAnswer,
    ) : MembershipDecision

    /**
     * [peer] reported [revision] as in force; to be passed to the configuration replica. [confirmedAge] is the time
     * since the peer's revision was last confirmed, or null.
     */
    data class RevisionReceived(
        val peer: DaemonId,
        val revision: Long,
        val confirmedAge: Duration?,
    ) : MembershipDecision

    /** A peer sent a higher fencing number of [failureDomain]. */
    data class FencingNumberReceived(
        val failureDomain: FailureDomainId,
        val fencingNumber: FencingNumber,
    ) : MembershipDecision

    /** A peer sent a strike that was not stored here. */
    data class StrikeReceived(
        val strike: GossipPayload.Strike,
    ) : MembershipDecision

    /** The active daemons of this failure domain are now [daemons]. */
    data class ActiveDaemonsChanged(
        val daemons: List<DaemonId>,
    ) : MembershipDecision

    /** Record [change] of [peer] in the timeline. */
    data class RecordPeerChange(
        val peer: DaemonIdentity,
        val change: PeerChange,
    ) : MembershipDecision
}

/** A change of a peer that is recorded in the timeline. */
enum class PeerChange { JOINED, SILENT, RETURNED, RESTARTED, LEAVING }
