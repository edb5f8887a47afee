/*
 * Writes the edits received by one daemon to the platform's table.
 *
 * Every edit's transaction rewrites `configuration/revision`, so accepted edits are totally ordered and each was
 * validated against exactly the document that it changed. An edit that loses this race to an edit of another section
 * starts over. An edit increments its section's version, so a retry cannot take effect twice, even after the platform
 * has dropped the record of the edit id: the retry then ends with a version conflict.
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

/** State machine that writes configuration edits; see the file comment. */
class ConfigurationEditor(
    private val validator: ConfigurationValidator = ConfigurationValidator(),
) : Aggregate<EditorState, EditorEvent, EditorDecision> {
    override fun handle(
        state: EditorState,
        event: EditorEvent,
        now: Instant,
    ): EditorTransition = when (event) {
        is EditorEvent.EditRequested -> startEdit(state, event.edit)
        is EditorEvent.RowsRead -> state.pending[event.edit]?.let { onRowsRead(state, it, event.result) }
        is EditorEvent.TransactionCompleted -> state.pending[event.edit]?.let { onTransaction(state, it, event.result) }
    } ?: Transition(state)

    private fun startEdit(
        state: EditorState,
        edit: ConfigurationEdit,
    ): EditorTransition {
        val pending = state.pending[edit.edit] ?: return readRows(state, PendingEdit(edit))
        if (pending.edit == edit) return Transition(state)
        return Transition(state, listOf(EditorDecision.CompleteEdit(edit, EditResult.EditIdReused)))
    }

    private fun readRows(
        state: EditorState,
        pending: PendingEdit,
    ): EditorTransition {
        val edit = pending.edit.edit
        val sections = ConfigurationSection.entries.map { ConfigurationRows.sectionKey(it) }
        val keys = sections.toSet() + ConfigurationRows.REVISION_KEY + ConfigurationRows.recentEditsKey(edit)
        return Transition(withPending(state, pending), listOf(EditorDecision.ReadRows(edit, keys)))
    }

    private fun onRowsRead(
        state: EditorState,
        pending: PendingEdit,
        result: Either<StoreFailure, Map<RowKey, Row>>,
    ): EditorTransition {
        val rows = result.getOrNull() ?: return retryOrGiveUp(state, pending)
        val revision = ConfigurationRows.decodeRevision(rows[ConfigurationRows.REVISION_KEY])
        val recentEdits = ConfigurationRows.decodeEdits(rows[ConfigurationRows.recentEditsKey(pending.edit.edit)])
        val sections = readSections(rows)
        if (revision == null || recentEdits == null || sections == null) return failUnreadable(state, pending)
        recentEdits
            .find { it.edit == pending.edit.edit }
            ?.let { return complete(state, pending, toRecordedResult(pending, it)) }
        val set = SectionChanges(revision, sections).completeFrom(SectionSet.EMPTY)
        // Another transaction may have committed while the rows were read, so they may belong to different revisions.
        if (set == null) return retryOrGiveUp(state, pending)
        return writeEdit(state, pending, Snapshot(rows, set, recentEdits))
    }

    private fun readSections(rows: Map<RowKey, Row>): Map<ConfigurationSection, StoredSection>? =
        ConfigurationSection.entries.associateWith { section ->
            ConfigurationRows.decodeSection(rows[ConfigurationRows.sectionKey(section)]) ?: return null
        }

    private fun toRecordedResult(
        pending: PendingEdit,
        record: RecordedEdit,
    ): EditResult {
        val isSameEdit = record.section == pending.edit.section && record.version == pending.edit.expectedVersion + 1
        if (!isSameEdit) return EditResult.EditIdReused
        return EditResult.Accepted(record.version, record.revision, repeated = !pending.mayHaveApplied)
    }

    private fun writeEdit(
        state: EditorState,
        pending: PendingEdit,
        snapshot: Snapshot,
    ): EditorTransition {
        val edit = pending.edit
        val current =
            snapshot.set.sections
                .getValue(edit.section)
                .version
        if (current > edit.expectedVersion) return complete(state, pending, EditResult.VersionConflict(current))
        if (current < edit.expectedVersion) return complete(state, pending, EditResult.VersionNotReached(current))
        val revision = snapshot.set.revision + 1
        val newSection = StoredSection(current + 1, revision, edit.edit, edit.author, edit.content)
        val newSet = SectionSet(revision, snapshot.set.sections + (edit.section to newSection))
        validator.decode(newSet).leftOrNull()?.let { return complete(state, pending, EditResult.Invalid(it)) }
        val accepted = EditResult.Accepted(newSection.version, revision, repeated = false)
        val writes = snapshot.buildWrites(edit, newSection, newSet)
        return Transition(
            withPending(state, pending.copy(resultIfCommitted = accepted)),
            listOf(EditorDecision.Transact(edit.edit, writes)),
        )
    }

    private fun onTransaction(
        state: EditorState,
        pending: PendingEdit,
        result: Either<StoreFailure, TransactionResult>,
    ): EditorTransition = result.fold(
        { failure -> retryOrGiveUp(state, recordFailure(pending, failure)) },
        { transactionResult -> onTransactionResult(state, pending, transactionResult) },
    )

    private fun recordFailure(
        pending: PendingEdit,
        failure: StoreFailure,
    ): PendingEdit = when (failure) {
        StoreFailure.Unavailable -> pending
        StoreFailure.AnswerLost -> pending.copy(mayHaveApplied = true)
    }

    private fun onTransactionResult(
        state: EditorState,
        pending: PendingEdit,
        result: TransactionResult,
    ): EditorTransition = when (result) {
        is TransactionResult.Committed -> complete(state, pending, checkNotNull(pending.resultIfCommitted))
        is TransactionResult.Conflict -> retryOrGiveUp(state, pending)
    }

    private fun retryOrGiveUp(
        state: EditorState,
        pending: PendingEdit,
    ): EditorTransition {
        val updated = pending.copy(failedAttempts = pending.failedAttempts + 1)
        if (updated.failedAttempts < MAX_FAILED_ATTEMPTS) return readRows(state, updated)
        return complete(state, updated, EditResult.PlatformUnavailable(toOutcome(pending)))
    }

    private fun failUnreadable(
        state: EditorState,
        pending: PendingEdit,
    ): EditorTransition = complete(state, pending, EditResult.UnreadableRows(toOutcome(pending)))

    private fun toOutcome(pending: PendingEdit): EditOutcome =
        if (pending.mayHaveApplied) EditOutcome.UNKNOWN else EditOutcome.NOT_APPLIED

    private fun complete(
        state: EditorState,
        pending: PendingEdit,
        result: EditResult,
    ): EditorTransition = Transition(
        state.copy(pending = state.pending - pending.edit.edit),
        listOf(EditorDecision.CompleteEdit(pending.edit, result)),
    )

    private fun withPending(
        state: EditorState,
        pending: PendingEdit,
    ): EditorState = state.copy(pending = state.pending + (pending.edit.edit to pending))

    /** The rows that one read returned, with the sections and recent edits decoded from them. */
    private data class Snapshot(
        val rows: Map<RowKey, Row>,
        val set: SectionSet,
        val recentEdits: List<RecordedEdit>,
    ) {
        fun buildWrites(
            edit: ConfigurationEdit,
            newSection: StoredSection,
            newSet: SectionSet,
        ): List<ConditionalWrite> {
            val record = RecordedEdit(edit.edit, edit.section, newSection.version, newSection.revision)
            val newRecentEdits = (recentEdits + record).takeLast(ConfigurationRows.MAX_EDITS_PER_ROW)
            return listOf(
                buildWrite(ConfigurationRows.sectionKey(edit.section), newSection),
                buildWrite(ConfigurationRows.REVISION_KEY, newSet.toVersions()),
                buildWrite(ConfigurationRows.recentEditsKey(edit.edit), newRecentEdits),
            )
        }

        private fun buildWrite(
            key: RowKey,
            value: Any,
        ): ConditionalWrite =
            ConditionalWrite(key, rows[key]?.version ?: ConditionalWrite.ABSENT, ConfigurationRows.encode(value))
    }

    private companion object {
        /** An edit is refused once this many calls to the platform have failed or lost a race. */
        const val MAX_FAILED_ATTEMPTS = 8
    }
}
