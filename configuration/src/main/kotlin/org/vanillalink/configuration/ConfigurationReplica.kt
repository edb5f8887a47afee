/*
 * A daemon's replica of the configuration. Its revision never decreases.
 *
 * A few daemons of each failure domain poll the small row `configuration/revision`; the others learn of a new revision
 * from heartbeats and request the changed sections from a peer. A daemon whose replica has not been confirmed for
 * [ConfigurationReplica.CONFIRMATION_TIMEOUT] polls the platform itself. Only complete sets are accepted: a revision
 * comes with the versions of all sections, and each section must have that version. A new daemon waits for a round of
 * heartbeats before it puts a revision in force, so that a first response from a lagging peer or store does not revert
 * it to a revision older than that of its previous process instance.
 */
package org.vanillalink.configuration

import org.vanillalink.model.Aggregate
import org.vanillalink.model.DaemonId
import org.vanillalink.model.Transition
import org.vanillalink.store.Row
import org.vanillalink.store.RowKey
import java.time.Duration
import java.time.Instant

private typealias ReplicaTransition = Transition<ReplicaState, ReplicaDecision>

/** State machine that requests revisions and puts them in force; see the file comment. */
class ConfigurationReplica(
    private val validator: ConfigurationValidator = ConfigurationValidator(),
) : Aggregate<ReplicaState, ReplicaEvent, ReplicaDecision> {
    override fun handle(
        state: ReplicaState,
        event: ReplicaEvent,
        now: Instant,
    ): ReplicaTransition = when (event) {
        ReplicaEvent.Tick -> tick(state, now)
        is ReplicaEvent.PollingRoleChanged -> Transition(state.copy(isPoller = event.isPoller))
        is ReplicaEvent.PeerRevisionReceived -> onPeerRevision(state, event, now)
        is ReplicaEvent.PeerLost -> Transition(removePeer(state, event.peer))
        is ReplicaEvent.PeerQueryCompleted -> onPeerQueryCompleted(state, event, now)
        is ReplicaEvent.RowsRead -> onRowsRead(state, event, now)
        is ReplicaEvent.EditAccepted -> onEditAccepted(state, event.revision, now)
    }

    private fun tick(
        state: ReplicaState,
        now: Instant,
    ): ReplicaTransition {
        val current = expireCalls(state, now)
        return current.then { putInForce(it, now) }.then { queryPeer(it, now) }.then { poll(it, now) }
    }

    private fun expireCalls(
        state: ReplicaState,
        now: Instant,
    ): ReplicaTransition {
        val oldest = now.minus(CALL_TIMEOUT)
        val pendingRead = state.pendingRead?.takeIf { it.sentAt > oldest }
        return Transition(
            state.copy(pendingQueries = state.pendingQueries.filterValues { it > oldest }, pendingRead = pendingRead),
        )
    }

    private fun poll(
        state: ReplicaState,
        now: Instant,
    ): ReplicaTransition {
        val age = state.age(now)
        val isDue = state.isPoller || age == null || age > CONFIRMATION_TIMEOUT
        if (!isDue || now < state.nextPollAt || state.pendingRead != null) return Transition(state)
        return readRows(state, setOf(ConfigurationRows.REVISION_KEY), now)
    }

    private fun readRows(
        state: ReplicaState,
        keys: Set<RowKey>,
        now: Instant,
        tornReads: Int = 0,
    ): ReplicaTransition = Transition(
        state.copy(pendingRead = PendingRead(keys, now, tornReads), nextPollAt = now.plus(POLL_INTERVAL)),
        listOf(ReplicaDecision.ReadRows(keys)),
    )

    private fun onEditAccepted(
        state: ReplicaState,
        revision: Long,
        now: Instant,
    ): ReplicaTransition {
        val updated = state.copy(highestObservedRevision = maxOf(state.highestObservedRevision, revision))
        if (revision <= state.heldRevision) return Transition(updated)
        return readRows(updated, setOf(ConfigurationRows.REVISION_KEY), now)
    }

    private fun onPeerRevision(
        state: ReplicaState,
        event: ReplicaEvent.PeerRevisionReceived,
        now: Instant,
    ): ReplicaTransition {
        val updated =
            state.copy(
                peerRevisions = state.peerRevisions + (event.peer to event.revision),
                highestObservedRevision = maxOf(state.highestObservedRevision, event.revision),
            )
        return queryPeer(confirmByPeer(updated, event.revision, event.confirmedAge, now), now)
    }

    private fun confirmByPeer(
        state: ReplicaState,
        revision: Long,
        age: Duration?,
        now: Instant,
    ): ReplicaState {
        val held = state.held ?: return state
        if (age == null || held.set.revision != revision) return state
        return confirm(state, now.minus(age))
    }

    private fun confirm(
        state: ReplicaState,
        confirmedAt: Instant,
    ): ReplicaState {
        if (state.heldRevision < state.highestObservedRevision) return state
        val previous = state.confirmedAt
        return if (previous != null && previous >= confirmedAt) state else state.copy(confirmedAt = confirmedAt)
    }

    private fun removePeer(
        state: ReplicaState,
        peer: DaemonId,
    ): ReplicaState = state.copy(
        peerRevisions = state.peerRevisions - peer,
        pendingQueries = state.pendingQueries - peer,
    )

    private fun queryPeer(
        state: ReplicaState,
        now: Instant,
    ): ReplicaTransition {
        if (state.pendingQueries.size >= MAX_PENDING_QUERIES) return Transition(state)
        val highestExamined = maxOf(state.held?.set?.revision ?: NO_REVISION, state.unreadableRevision ?: NO_REVISION)
        val newerRevisions =
            state.peerRevisions.filter { (peer, revision) ->
                peer !in state.pendingQueries && revision > highestExamined
            }
        val newest = newerRevisions.entries.sortedWith(compareBy({ -it.value }, { it.key })).firstOrNull()
        val peer = newest?.key ?: return Transition(state)
        return Transition(
            state.copy(pendingQueries = state.pendingQueries + (peer to now)),
            listOf(ReplicaDecision.QueryPeer(peer, state.heldRevision)),
        )
    }

    private fun onPeerQueryCompleted(
        state: ReplicaState,
        event: ReplicaEvent.PeerQueryCompleted,
        now: Instant,
    ): ReplicaTransition {
        val remaining = state.copy(pendingQueries = state.pendingQueries - event.peer)
        val changes = event.changes
        // A peer that returned no changes is dropped until its next heartbeat, so that another peer is queried.
        if (changes == null) return Transition(removePeer(state, event.peer))
        val accepted = accept(remaining, changes, RevisionSource.PEER)
        val confirmed = confirmByPeer(accepted.state, changes.versions.revision, event.confirmedAge, now)
        return Transition(confirmed, accepted.decisions).then { putInForce(it, now) }
    }

    private fun onRowsRead(
        state: ReplicaState,
        event: ReplicaEvent.RowsRead,
        now: Instant,
    ): ReplicaTransition {
        val pendingRead = state.pendingRead ?: return Transition(state)
        if (pendingRead.keys != event.keys) return Transition(state)
        val finished = state.copy(pendingRead = null)
        val rows = event.result.getOrNull() ?: return Transition(finished)
        val stored =
            ConfigurationRows.decodeRevision(rows[ConfigurationRows.REVISION_KEY]) ?: return Transition(finished)
        val changes = SectionChanges(stored, readSections(event.keys, rows))
        if (stored.revision > state.heldRevision &&
            !isComplete(finished, changes)
        ) {
            return readChangedSections(finished, pendingRead, stored, now)
        }
        val accepted = accept(finished.withObservedRevision(stored.revision), changes, RevisionSource.PLATFORM)
        val isHeld =
            accepted.state.held
                ?.set
                ?.revision == stored.revision
        val confirmed = if (isHeld) confirm(accepted.state, pendingRead.sentAt) else accepted.state
        return Transition(confirmed, accepted.decisions).then { putInForce(it, now) }
    }

    private fun ReplicaState.withObservedRevision(revision: Long): ReplicaState =
        copy(highestObservedRevision = maxOf(highestObservedRevision, revision))

    private fun readChangedSections(
        state: ReplicaState,
        pendingRead: PendingRead,
        stored: RevisionVersions,
        now: Instant,
    ): ReplicaTransition {
        val tornReads = if (pendingRead.keys.size > 1) pendingRead.tornReads + 1 else pendingRead.tornReads
        if (tornReads > MAX_TORN_READS) return Transition(state)
        val held = heldSet(state).sections
        val changed = stored.versions.filter { (section, version) -> held.getValue(section).version != version }
        val keys = changed.keys.map { ConfigurationRows.sectionKey(it) }.toSet() + ConfigurationRows.REVISION_KEY
        return readRows(state.withObservedRevision(stored.revision), keys, now, tornReads)
    }

    private fun readSections(
        keys: Set<RowKey>,
        rows: Map<RowKey, Row>,
    ): Map<ConfigurationSection, StoredSection> {
        val requested = ConfigurationSection.entries.filter { ConfigurationRows.sectionKey(it) in keys }
        val read = requested.map { it to ConfigurationRows.decodeSection(rows[ConfigurationRows.sectionKey(it)]) }
        return read.mapNotNull { (section, stored) -> stored?.let { section to it } }.toMap()
    }

    private fun isComplete(
        state: ReplicaState,
        changes: SectionChanges,
    ): Boolean = changes.completeFrom(heldSet(state)) != null

    private fun heldSet(state: ReplicaState): SectionSet = state.held?.set ?: SectionSet.EMPTY

    private fun accept(
        state: ReplicaState,
        changes: SectionChanges,
        source: RevisionSource,
    ): ReplicaTransition {
        val revision = changes.versions.revision
        if (revision < state.heldRevision) return ignoreOlder(state, revision)
        if (state.held != null && revision == state.heldRevision) return Transition(state)
        val set = changes.completeFrom(heldSet(state)) ?: return Transition(state)
        return validator.decode(set).fold(
            { errors -> rejectUnreadable(state, revision, errors) },
            { document -> Transition(state.copy(held = DecodedSet(set, document, source))) },
        )
    }

    private fun ignoreOlder(
        state: ReplicaState,
        revision: Long,
    ): ReplicaTransition {
        val entry = ReplicaTimelineEntry.OlderRevisionIgnored(revision, state.heldRevision)
        return Transition(state, listOf(ReplicaDecision.RecordTimeline(entry)))
    }

    private fun rejectUnreadable(
        state: ReplicaState,
        revision: Long,
        errors: List<ConfigurationError>,
    ): ReplicaTransition {
        if (state.unreadableRevision == revision) return Transition(state)
        val entry = ReplicaTimelineEntry.RevisionUnreadable(revision, errors)
        return Transition(
            state.copy(unreadableRevision = revision),
            listOf(ReplicaDecision.RecordTimeline(entry)),
        )
    }

    private fun putInForce(
        state: ReplicaState,
        now: Instant,
    ): ReplicaTransition {
        val held = state.held ?: return Transition(state)
        if (state.revision == held.set.revision || !isStartupComplete(state, now)) return Transition(state)
        val revision = held.set.revision
        return Transition(
            state.copy(inForce = held),
            listOf(
                ReplicaDecision.ConfigurationInForce(held.document, revision, held.source),
                ReplicaDecision.RecordTimeline(ReplicaTimelineEntry.RevisionInForce(revision, held.source)),
            ),
        )
    }

    private fun isStartupComplete(
        state: ReplicaState,
        now: Instant,
    ): Boolean {
        if (state.inForce != null) return true
        val uptime = Duration.between(state.startedAt, now)
        if (uptime < STARTUP_DELAY) return false
        return state.heldRevision >= state.highestObservedRevision || uptime >= MAX_STARTUP_DELAY
    }

    private fun ReplicaTransition.then(next: (ReplicaState) -> ReplicaTransition): ReplicaTransition {
        val following = next(state)
        return Transition(following.state, decisions + following.decisions)
    }

    companion object {
        /** Interval at which a polling daemon reads `configuration/revision`. */
        val POLL_INTERVAL: Duration = Duration.ofSeconds(2)

        /** Number of daemons in each failure domain that poll the platform. */
        const val POLLERS_PER_FAILURE_DOMAIN = 2

        /** A daemon whose replica has not been confirmed for this long polls the platform itself. */
        val CONFIRMATION_TIMEOUT: Duration = Duration.ofSeconds(8)

        /** How long a new daemon collects revisions from heartbeats before it puts one in force. */
        val STARTUP_DELAY: Duration = Duration.ofSeconds(3)

        /** Maximum time for which a new daemon waits to receive the highest revision that it has observed. */
        val MAX_STARTUP_DELAY: Duration = Duration.ofSeconds(6)

        private val CALL_TIMEOUT = Duration.ofSeconds(1)
        private const val MAX_PENDING_QUERIES = 2
        private const val NO_REVISION = -1L
        private const val MAX_TORN_READS = 3
    }
}
