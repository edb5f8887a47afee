/*
 * A daemon's copy of the configuration, which goes only forward.
 *
 * A few daemons of each failure domain read the small row `configuration/revision` regularly; the others learn of a new
 * revision from heartbeats and ask a peer for the changed sections. A daemon that nobody has confirmed for a while asks
 * the platform itself. Only whole sets are taken: a revision comes with the versions of all sections, and each section
 * must have that version. A fresh daemon waits for a round of heartbeats before it puts anything in force, so that a
 * first answer from a lagging peer or store doesn't take it back behind its previous run.
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

/** Decides what to ask for and what to put in force; see the head of the file. */
class ConfigurationReplica(
    private val validation: ConfigurationValidation = ConfigurationValidation(),
) : Aggregate<ReplicaState, ReplicaEvent, ReplicaDecision> {
    override fun handle(
        state: ReplicaState,
        event: ReplicaEvent,
        now: Instant,
    ): ReplicaTransition = when (event) {
        ReplicaEvent.Tick -> tick(state, now)
        is ReplicaEvent.PollingRoleChanged -> Transition(state.copy(polls = event.polls))
        is ReplicaEvent.PeerRevisionHeard -> peerHeard(state, event, now)
        is ReplicaEvent.PeerLost -> Transition(withoutPeer(state, event.peer))
        is ReplicaEvent.PeerAnswered -> peerAnswered(state, event, now)
        is ReplicaEvent.RowsRead -> rowsRead(state, event, now)
        is ReplicaEvent.EditAccepted -> editAccepted(state, event.revision, now)
    }

    private fun tick(
        state: ReplicaState,
        now: Instant,
    ): ReplicaTransition {
        val timely = forgetLateCalls(state, now)
        return timely.then { putInForce(it, now) }.then { askPeers(it, now) }.then { poll(it, now) }
    }

    private fun forgetLateCalls(
        state: ReplicaState,
        now: Instant,
    ): ReplicaTransition {
        val oldest = now.minus(CALL_TIMEOUT)
        val reading = state.reading?.takeIf { it.sentAt > oldest }
        return Transition(state.copy(asked = state.asked.filterValues { it > oldest }, reading = reading))
    }

    private fun poll(
        state: ReplicaState,
        now: Instant,
    ): ReplicaTransition {
        val age = state.age(now)
        val due = state.polls || age == null || age > UNCONFIRMED_BEFORE_POLLING
        if (!due || now < state.nextPollAt || state.reading != null) return Transition(state)
        return read(state, setOf(ConfigurationRows.REVISION), now)
    }

    private fun read(
        state: ReplicaState,
        keys: Set<RowKey>,
        now: Instant,
        tornReads: Int = 0,
    ): ReplicaTransition = Transition(
        state.copy(reading = ReadInProgress(keys, now, tornReads), nextPollAt = now.plus(POLL_INTERVAL)),
        listOf(ReplicaDecision.ReadRows(keys)),
    )

    private fun editAccepted(
        state: ReplicaState,
        revision: Long,
        now: Instant,
    ): ReplicaTransition {
        val heard = state.copy(highestHeard = maxOf(state.highestHeard, revision))
        if (revision <= state.heldRevision) return Transition(heard)
        return read(heard, setOf(ConfigurationRows.REVISION), now)
    }

    private fun peerHeard(
        state: ReplicaState,
        event: ReplicaEvent.PeerRevisionHeard,
        now: Instant,
    ): ReplicaTransition {
        val heard =
            state.copy(
                peerRevisions = state.peerRevisions + (event.peer to event.revision),
                highestHeard = maxOf(state.highestHeard, event.revision),
            )
        return askPeers(confirmedByPeer(heard, event.revision, event.confirmedAge, now), now)
    }

    private fun confirmedByPeer(
        state: ReplicaState,
        revision: Long,
        age: Duration?,
        now: Instant,
    ): ReplicaState {
        val held = state.held ?: return state
        if (age == null || held.set.revision != revision) return state
        return confirmed(state, now.minus(age))
    }

    private fun confirmed(
        state: ReplicaState,
        at: Instant,
    ): ReplicaState {
        if (state.heldRevision < state.highestHeard) return state
        val known = state.confirmedAt
        return if (known != null && known >= at) state else state.copy(confirmedAt = at)
    }

    private fun withoutPeer(
        state: ReplicaState,
        peer: DaemonId,
    ): ReplicaState = state.copy(peerRevisions = state.peerRevisions - peer, asked = state.asked - peer)

    private fun askPeers(
        state: ReplicaState,
        now: Instant,
    ): ReplicaTransition {
        if (state.asked.size >= MOST_PEERS_ASKED) return Transition(state)
        val useless = maxOf(state.held?.set?.revision ?: NOTHING, state.unreadableRevision ?: NOTHING)
        val ahead = state.peerRevisions.filter { (peer, revision) -> peer !in state.asked && revision > useless }
        val best = ahead.entries.sortedWith(compareBy({ -it.value }, { it.key })).firstOrNull()
        val peer = best?.key ?: return Transition(state)
        return Transition(
            state.copy(asked = state.asked + (peer to now)),
            listOf(ReplicaDecision.AskPeer(peer, state.heldRevision)),
        )
    }

    private fun peerAnswered(
        state: ReplicaState,
        event: ReplicaEvent.PeerAnswered,
        now: Instant,
    ): ReplicaTransition {
        val answered = state.copy(asked = state.asked - event.peer)
        val changes = event.changes
        // A peer that has nothing for us is forgotten until its next heartbeat, so that another one is asked.
        if (changes == null) return Transition(withoutPeer(state, event.peer))
        val taken = take(answered, changes, RevisionSource.PEER)
        val confirmed = confirmedByPeer(taken.state, changes.versions.revision, event.confirmedAge, now)
        return Transition(confirmed, taken.decisions).then { putInForce(it, now) }
    }

    private fun rowsRead(
        state: ReplicaState,
        event: ReplicaEvent.RowsRead,
        now: Instant,
    ): ReplicaTransition {
        val reading = state.reading ?: return Transition(state)
        if (reading.keys != event.keys) return Transition(state)
        val idle = state.copy(reading = null)
        val rows = event.answer.getOrNull() ?: return Transition(idle)
        val found = ConfigurationRows.readRevision(rows[ConfigurationRows.REVISION]) ?: return Transition(idle)
        val changes = SectionChanges(found, readSections(event.keys, rows))
        if (found.revision > state.heldRevision &&
            !isWhole(idle, changes)
        ) {
            return readChanged(idle, reading, found, now)
        }
        val taken = take(idle.hearing(found.revision), changes, RevisionSource.PLATFORM)
        val same =
            taken.state.held
                ?.set
                ?.revision == found.revision
        val confirmed = if (same) confirmed(taken.state, reading.sentAt) else taken.state
        return Transition(confirmed, taken.decisions).then { putInForce(it, now) }
    }

    private fun ReplicaState.hearing(revision: Long): ReplicaState = copy(highestHeard = maxOf(highestHeard, revision))

    private fun readChanged(
        state: ReplicaState,
        reading: ReadInProgress,
        found: RevisionVersions,
        now: Instant,
    ): ReplicaTransition {
        val torn = if (reading.keys.size > 1) reading.tornReads + 1 else reading.tornReads
        if (torn > MOST_TORN_READS) return Transition(state)
        val held = heldSet(state).sections
        val changed = found.versions.filter { (section, version) -> held.getValue(section).version != version }
        val keys = changed.keys.map { ConfigurationRows.section(it) }.toSet() + ConfigurationRows.REVISION
        return read(state.hearing(found.revision), keys, now, torn)
    }

    private fun readSections(
        keys: Set<RowKey>,
        rows: Map<RowKey, Row>,
    ): Map<ConfigurationSection, StoredSection> {
        val asked = ConfigurationSection.entries.filter { ConfigurationRows.section(it) in keys }
        val read = asked.map { it to ConfigurationRows.readSection(rows[ConfigurationRows.section(it)]) }
        return read.mapNotNull { (section, stored) -> stored?.let { section to it } }.toMap()
    }

    private fun isWhole(
        state: ReplicaState,
        changes: SectionChanges,
    ): Boolean = changes.completedBy(heldSet(state)) != null

    private fun heldSet(state: ReplicaState): SectionSet = state.held?.set ?: SectionSet.EMPTY

    private fun take(
        state: ReplicaState,
        changes: SectionChanges,
        source: RevisionSource,
    ): ReplicaTransition {
        val revision = changes.versions.revision
        if (revision < state.heldRevision) return older(state, revision)
        if (state.held != null && revision == state.heldRevision) return Transition(state)
        val set = changes.completedBy(heldSet(state)) ?: return Transition(state)
        return validation.decode(set).fold(
            { errors -> unreadable(state, revision, errors) },
            { document -> Transition(state.copy(held = DecodedSet(set, document, source))) },
        )
    }

    private fun older(
        state: ReplicaState,
        revision: Long,
    ): ReplicaTransition {
        val entry = ReplicaTimelineEntry.OlderRevisionIgnored(revision, state.heldRevision)
        return Transition(state, listOf(ReplicaDecision.RecordTimeline(entry)))
    }

    private fun unreadable(
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
        if (state.revision == held.set.revision || !hasSettled(state, now)) return Transition(state)
        val revision = held.set.revision
        return Transition(
            state.copy(inForce = held),
            listOf(
                ReplicaDecision.ConfigurationInForce(held.document, revision, held.source),
                ReplicaDecision.RecordTimeline(ReplicaTimelineEntry.RevisionInForce(revision, held.source)),
            ),
        )
    }

    private fun hasSettled(
        state: ReplicaState,
        now: Instant,
    ): Boolean {
        if (state.inForce != null) return true
        val up = Duration.between(state.startedAt, now)
        if (up < SETTLING) return false
        return state.heldRevision >= state.highestHeard || up >= LONGEST_SETTLING
    }

    private fun ReplicaTransition.then(next: (ReplicaState) -> ReplicaTransition): ReplicaTransition {
        val following = next(state)
        return Transition(following.state, decisions + following.decisions)
    }

    companion object {
        /** How often a polling daemon reads `configuration/revision`. */
        val POLL_INTERVAL: Duration = Duration.ofSeconds(2)

        /** Daemons of one failure domain that poll. */
        const val POLLERS_PER_FAILURE_DOMAIN = 2

        /** A daemon whose copy nobody confirmed for this long polls by itself. */
        val UNCONFIRMED_BEFORE_POLLING: Duration = Duration.ofSeconds(8)

        /** How long a fresh daemon listens before it puts a revision in force. */
        val SETTLING: Duration = Duration.ofSeconds(3)

        /** How long it waits at most for a higher revision that it has heard of. */
        val LONGEST_SETTLING: Duration = Duration.ofSeconds(6)

        private val CALL_TIMEOUT = Duration.ofSeconds(1)
        private const val MOST_PEERS_ASKED = 2
        private const val NOTHING = -1L
        private const val MOST_TORN_READS = 3
    }
}
