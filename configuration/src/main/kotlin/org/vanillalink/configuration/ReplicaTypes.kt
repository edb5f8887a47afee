/*
 * State, events and decisions of a daemon's configuration replica.
 */
package org.vanillalink.configuration

import arrow.core.Either
import org.vanillalink.model.DaemonId
import org.vanillalink.store.Row
import org.vanillalink.store.RowKey
import org.vanillalink.store.StoreFailure
import java.time.Duration
import java.time.Instant

/** Source from which a daemon received a revision. */
enum class RevisionSource { PLATFORM, PEER }

/** A set of sections together with the [document] decoded from it. */
data class DecodedSet(
    val set: SectionSet,
    val document: ConfigurationDocument,
    val source: RevisionSource,
)

/** A read of the platform's rows, sent at [sentAt]; [tornReads] counts reads that a transaction interleaved with. */
data class PendingRead(
    val keys: Set<RowKey>,
    val sentAt: Instant,
    val tornReads: Int = 0,
)

/**
 * State of one daemon's replica. [held] is the newest complete set that the daemon has; it becomes [inForce] once the
 * daemon has been up long enough to have received revisions from peers. [highestObservedRevision] is the highest
 * revision reported by any source. [confirmedAt] is when the platform last showed, to this daemon or to a peer, that
 * [held] is the newest.
 */
data class ReplicaState(
    val startedAt: Instant,
    val held: DecodedSet? = null,
    val inForce: DecodedSet? = null,
    val highestObservedRevision: Long = 0,
    val confirmedAt: Instant? = null,
    val isPoller: Boolean = true,
    val nextPollAt: Instant = startedAt,
    val pendingRead: PendingRead? = null,
    val peerRevisions: Map<DaemonId, Long> = emptyMap(),
    val pendingQueries: Map<DaemonId, Instant> = emptyMap(),
    val unreadableRevision: Long? = null,
) {
    /** The revision in force, or null if there is none. */
    val revision: Long? get() = inForce?.set?.revision

    /** The revision of [held], or 0 if there is none. */
    val heldRevision: Long get() = held?.set?.revision ?: 0

    /** Returns the time since the revision was last confirmed, or null if it never was. */
    fun age(now: Instant): Duration? = confirmedAt?.let { Duration.between(it, now) }
}

/** Events that the replica handles. */
sealed interface ReplicaEvent {
    /** Time has passed; expected about every 0.5 s. */
    data object Tick : ReplicaEvent

    /** Whether this daemon is one of the few in its failure domain that poll the platform. */
    data class PollingRoleChanged(
        val isPoller: Boolean,
    ) : ReplicaEvent

    /** A heartbeat or its response reported that [peer] has [revision] in force, confirmed [confirmedAge] ago. */
    data class PeerRevisionReceived(
        val peer: DaemonId,
        val revision: Long,
        val confirmedAge: Duration?,
    ) : ReplicaEvent

    /** [peer] left or became unresponsive. */
    data class PeerLost(
        val peer: DaemonId,
    ) : ReplicaEvent

    /** Result of [ReplicaDecision.QueryPeer]; [changes] is null if the query failed or [peer] has no configuration. */
    data class PeerQueryCompleted(
        val peer: DaemonId,
        val changes: SectionChanges?,
        val confirmedAge: Duration?,
    ) : ReplicaEvent

    /** Result of [ReplicaDecision.ReadRows] for [keys]. */
    data class RowsRead(
        val keys: Set<RowKey>,
        val result: Either<StoreFailure, Map<RowKey, Row>>,
    ) : ReplicaEvent

    /** An edit sent through this daemon was accepted at [revision]. */
    data class EditAccepted(
        val revision: Long,
    ) : ReplicaEvent
}

/** Actions that the replica requests from its executor. */
sealed interface ReplicaDecision {
    /** Read [keys] from the table and pass the result back as [ReplicaEvent.RowsRead]. */
    data class ReadRows(
        val keys: Set<RowKey>,
    ) : ReplicaDecision

    /** Query [peer] for the sections changed after [afterRevision]; ends with [ReplicaEvent.PeerQueryCompleted]. */
    data class QueryPeer(
        val peer: DaemonId,
        val afterRevision: Long,
    ) : ReplicaDecision

    /** Apply [document]; notify the other aggregates, and also peers immediately if it came from the platform. */
    data class ConfigurationInForce(
        val document: ConfigurationDocument,
        val revision: Long,
        val source: RevisionSource,
    ) : ReplicaDecision

    /** Write [entry] to the timeline. */
    data class RecordTimeline(
        val entry: ReplicaTimelineEntry,
    ) : ReplicaDecision
}

/** Timeline entries of the replica. */
sealed interface ReplicaTimelineEntry {
    /** [revision] was put in force. */
    data class RevisionInForce(
        val revision: Long,
        val source: RevisionSource,
    ) : ReplicaTimelineEntry

    /** [revision] was received but cannot be decoded by this daemon, which keeps the revision that it has. */
    data class RevisionUnreadable(
        val revision: Long,
        val errors: List<ConfigurationError>,
    ) : ReplicaTimelineEntry

    /** The platform or a peer returned [revision], which is older than [heldRevision] and was ignored. */
    data class OlderRevisionIgnored(
        val revision: Long,
        val heldRevision: Long,
    ) : ReplicaTimelineEntry
}
