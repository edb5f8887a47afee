/*
 * Carries one daemon's edits through the platform's table.
 *
 * Every edit's transaction rewrites `configuration/revision`, so accepted edits have one order and each was validated
 * against exactly the document that it changed. An edit that loses that race to an edit of another section starts over.
 * An edit raises its section's version, so a retry can't take effect a second time, also when the platform no longer
 * remembers the edit id: it is then answered with a conflict.
 */
package org.vanillalink.configuration

import arrow.core.Either
import org.vanillalink.model.Aggregate
import org.vanillalink.model.Transition
import org.vanillalink.store.ConditionalWrite
import org.vanillalink.store.Row
import org.vanillalink.store.RowKey
import org.vanillalink.store.StoreFailure
import org.vanillalink.store.TransactionResult
import java.time.Instant

private typealias EditorTransition = Transition<EditorState, EditorDecision>

/** Decides how edits are written; see the head of the file. */
class ConfigurationEditor(
    private val validation: ConfigurationValidation = ConfigurationValidation(),
) : Aggregate<EditorState, EditorEvent, EditorDecision> {
    override fun handle(
        state: EditorState,
        event: EditorEvent,
        now: Instant,
    ): EditorTransition = when (event) {
        is EditorEvent.EditRequested -> requested(state, event.edit)
        is EditorEvent.RowsRead -> state.pending[event.edit]?.let { rowsRead(state, it, event.answer) }
        is EditorEvent.TransactionAnswered -> state.pending[event.edit]?.let { answered(state, it, event.answer) }
    } ?: Transition(state)

    private fun requested(
        state: EditorState,
        edit: ConfigurationEdit,
    ): EditorTransition {
        val pending = state.pending[edit.edit] ?: return read(state, PendingEdit(edit))
        if (pending.edit == edit) return Transition(state)
        return Transition(state, listOf(EditorDecision.AnswerEdit(edit, EditResult.EditIdReused)))
    }

    private fun read(
        state: EditorState,
        pending: PendingEdit,
    ): EditorTransition {
        val edit = pending.edit.edit
        val sections = ConfigurationSection.entries.map { ConfigurationRows.section(it) }
        val keys = sections.toSet() + ConfigurationRows.REVISION + ConfigurationRows.recentEdits(edit)
        return Transition(hold(state, pending), listOf(EditorDecision.ReadRows(edit, keys)))
    }

    private fun rowsRead(
        state: EditorState,
        pending: PendingEdit,
        answer: Either<StoreFailure, Map<RowKey, Row>>,
    ): EditorTransition {
        val rows = answer.getOrNull() ?: return retryOrGiveUp(state, pending)
        val revision = ConfigurationRows.readRevision(rows[ConfigurationRows.REVISION])
        val edits = ConfigurationRows.readEdits(rows[ConfigurationRows.recentEdits(pending.edit.edit)])
        val sections = readSections(rows)
        if (revision == null || edits == null || sections == null) return unreadable(state, pending)
        edits.find { it.edit == pending.edit.edit }?.let { return end(state, pending, recorded(pending, it)) }
        val set = SectionChanges(revision, sections).completedBy(SectionSet.EMPTY)
        // The rows may have been read around somebody's transaction.
        if (set == null) return retryOrGiveUp(state, pending)
        return write(state, pending, Snapshot(rows, set, edits))
    }

    private fun readSections(rows: Map<RowKey, Row>): Map<ConfigurationSection, StoredSection>? =
        ConfigurationSection.entries.associateWith { section ->
            ConfigurationRows.readSection(rows[ConfigurationRows.section(section)]) ?: return null
        }

    private fun recorded(
        pending: PendingEdit,
        record: RecordedEdit,
    ): EditResult {
        val same = record.section == pending.edit.section && record.version == pending.edit.expectedVersion + 1
        if (!same) return EditResult.EditIdReused
        return EditResult.Accepted(record.version, record.revision, repeated = !pending.mayHaveApplied)
    }

    private fun write(
        state: EditorState,
        pending: PendingEdit,
        snapshot: Snapshot,
    ): EditorTransition {
        val edit = pending.edit
        val present =
            snapshot.set.sections
                .getValue(edit.section)
                .version
        if (present > edit.expectedVersion) return end(state, pending, EditResult.VersionConflict(present))
        if (present < edit.expectedVersion) return end(state, pending, EditResult.VersionNotReached(present))
        val revision = snapshot.set.revision + 1
        val changed = StoredSection(present + 1, revision, edit.edit, edit.author, edit.content)
        val result = SectionSet(revision, snapshot.set.sections + (edit.section to changed))
        validation.decode(result).leftOrNull()?.let { return end(state, pending, EditResult.Invalid(it)) }
        val accepted = EditResult.Accepted(changed.version, revision, repeated = false)
        val writes = snapshot.writes(edit, changed, result)
        return Transition(
            hold(state, pending.copy(result = accepted)),
            listOf(EditorDecision.Transact(edit.edit, writes)),
        )
    }

    private fun answered(
        state: EditorState,
        pending: PendingEdit,
        answer: Either<StoreFailure, TransactionResult>,
    ): EditorTransition = answer.fold(
        { failure -> retryOrGiveUp(state, afterFailure(pending, failure)) },
        { result -> answeredWith(state, pending, result) },
    )

    private fun afterFailure(
        pending: PendingEdit,
        failure: StoreFailure,
    ): PendingEdit = when (failure) {
        StoreFailure.Unavailable -> pending
        StoreFailure.AnswerLost -> pending.copy(mayHaveApplied = true)
    }

    private fun answeredWith(
        state: EditorState,
        pending: PendingEdit,
        result: TransactionResult,
    ): EditorTransition = when (result) {
        is TransactionResult.Committed -> end(state, pending, checkNotNull(pending.result))
        is TransactionResult.Conflict -> retryOrGiveUp(state, pending)
    }

    private fun retryOrGiveUp(
        state: EditorState,
        pending: PendingEdit,
    ): EditorTransition {
        val next = pending.copy(attempts = pending.attempts + 1)
        if (next.attempts < MOST_ATTEMPTS) return read(state, next)
        return end(state, next, EditResult.PlatformUnavailable(outcome(pending)))
    }

    private fun unreadable(
        state: EditorState,
        pending: PendingEdit,
    ): EditorTransition = end(state, pending, EditResult.UnreadableRows(outcome(pending)))

    private fun outcome(pending: PendingEdit): EditOutcome =
        if (pending.mayHaveApplied) EditOutcome.UNKNOWN else EditOutcome.NOT_APPLIED

    private fun end(
        state: EditorState,
        pending: PendingEdit,
        result: EditResult,
    ): EditorTransition = Transition(
        state.copy(pending = state.pending - pending.edit.edit),
        listOf(EditorDecision.AnswerEdit(pending.edit, result)),
    )

    private fun hold(
        state: EditorState,
        pending: PendingEdit,
    ): EditorState = state.copy(pending = state.pending + (pending.edit.edit to pending))

    /** What one read found. */
    private data class Snapshot(
        val rows: Map<RowKey, Row>,
        val set: SectionSet,
        val edits: List<RecordedEdit>,
    ) {
        fun writes(
            edit: ConfigurationEdit,
            changed: StoredSection,
            result: SectionSet,
        ): List<ConditionalWrite> {
            val record = RecordedEdit(edit.edit, edit.section, changed.version, changed.revision)
            val remembered = (edits + record).takeLast(ConfigurationRows.EDITS_PER_ROW)
            return listOf(
                write(ConfigurationRows.section(edit.section), changed),
                write(ConfigurationRows.REVISION, result.versions()),
                write(ConfigurationRows.recentEdits(edit.edit), remembered),
            )
        }

        private fun write(
            key: RowKey,
            value: Any,
        ): ConditionalWrite =
            ConditionalWrite(key, rows[key]?.version ?: ConditionalWrite.ABSENT, ConfigurationRows.write(value))
    }

    private companion object {
        /** Calls to the platform that may fail or lose a race before the edit is refused. */
        const val MOST_ATTEMPTS = 8
    }
}
