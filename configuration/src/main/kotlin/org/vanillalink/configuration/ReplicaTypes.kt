/*
 * What a daemon's copy of the configuration knows, is told and wants done.
 */
package org.vanillalink.configuration

import arrow.core.Either
import org.vanillalink.model.DaemonId
import org.vanillalink.store.Row
import org.vanillalink.store.RowKey
import org.vanillalink.store.StoreFailure
import java.time.Duration
import java.time.Instant

/** Where a daemon learned a revision. */
enum class RevisionSource { PLATFORM, PEER }

/** A set of sections that decodes to [document]. */
data class DecodedSet(
    val set: SectionSet,
    val document: ConfigurationDocument,
    val source: RevisionSource,
)

/** A read of the platform's rows that was sent at [sentAt]; [tornReads] counts reads that a transaction fell into. */
data class PendingRead(
    val keys: Set<RowKey>,
    val sentAt: Instant,
    val tornReads: Int = 0,
)

/**
 * One daemon's copy. [held] is the newest whole set that it has; it is [inForce] once the daemon has been up long
 * enough to have heard from others. [highestObservedRevision] is the highest revision that anybody told of.
 * [confirmedAt] is when the platform last showed, to this daemon or to a peer, that what is held is the newest.
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
    /** The revision in force, null while the daemon has none. */
    val revision: Long? get() = inForce?.set?.revision

    /** The revision held, 0 while the daemon has none. */
    val heldRevision: Long get() = held?.set?.revision ?: 0

    /** How long ago the revision was last confirmed; null if it never was. */
    fun age(now: Instant): Duration? = confirmedAt?.let { Duration.between(it, now) }
}

/** What the replica is told. */
sealed interface ReplicaEvent {
    /** Time passed; to be fed every 0.5 s or so. */
    data object Tick : ReplicaEvent

    /** Whether this daemon is one of the few of its failure domain that ask the platform regularly. */
    data class PollingRoleChanged(
        val isPoller: Boolean,
    ) : ReplicaEvent

    /** A heartbeat or its answer told that [peer] has [revision] in force, confirmed [confirmedAge] ago. */
    data class PeerRevisionReceived(
        val peer: DaemonId,
        val revision: Long,
        val confirmedAge: Duration?,
    ) : ReplicaEvent

    /** [peer] left or fell silent. */
    data class PeerLost(
        val peer: DaemonId,
    ) : ReplicaEvent

    /** [peer] answered [ReplicaDecision.QueryPeer]; [changes] is null where it couldn't be asked or has nothing. */
    data class PeerQueryCompleted(
        val peer: DaemonId,
        val changes: SectionChanges?,
        val confirmedAge: Duration?,
    ) : ReplicaEvent

    /** The answer to [ReplicaDecision.ReadRows] for [keys]. */
    data class RowsRead(
        val keys: Set<RowKey>,
        val result: Either<StoreFailure, Map<RowKey, Row>>,
    ) : ReplicaEvent

    /** This daemon's editor had an edit accepted at [revision]. */
    data class EditAccepted(
        val revision: Long,
    ) : ReplicaEvent
}

/** What the replica wants done. */
sealed interface ReplicaDecision {
    /** Read [keys] from the table and feed [ReplicaEvent.RowsRead]. */
    data class ReadRows(
        val keys: Set<RowKey>,
    ) : ReplicaDecision

    /** Ask [peer] for the sections changed after [afterRevision] and feed [ReplicaEvent.PeerQueryCompleted]. */
    data class QueryPeer(
        val peer: DaemonId,
        val afterRevision: Long,
    ) : ReplicaDecision

    /** From now on work by [document]; tell the other aggregates, and peers at once if it came from the platform. */
    data class ConfigurationInForce(
        val document: ConfigurationDocument,
        val revision: Long,
        val source: RevisionSource,
    ) : ReplicaDecision

    /** Write a line to the time line. */
    data class RecordTimeline(
        val entry: ReplicaTimelineEntry,
    ) : ReplicaDecision
}

/** What the replica writes to the time line. */
sealed interface ReplicaTimelineEntry {
    /** [revision] came in force. */
    data class RevisionInForce(
        val revision: Long,
        val source: RevisionSource,
    ) : ReplicaTimelineEntry

    /** [revision] was found but this daemon can't read it; it stays with what it has. */
    data class RevisionUnreadable(
        val revision: Long,
        val errors: List<ConfigurationError>,
    ) : ReplicaTimelineEntry

    /** The platform or a peer answered with [revision], older than [heldRevision]; it was not taken. */
    data class OlderRevisionIgnored(
        val revision: Long,
        val heldRevision: Long,
    ) : ReplicaTimelineEntry
}
