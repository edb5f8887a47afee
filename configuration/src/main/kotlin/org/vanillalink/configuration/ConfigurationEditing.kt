/*
 * What the editor is told, what it wants done and how edits end.
 */
package org.vanillalink.configuration

import arrow.core.Either
import org.vanillalink.store.ConditionalWrite
import org.vanillalink.store.Row
import org.vanillalink.store.RowKey
import org.vanillalink.store.StoreFailure
import org.vanillalink.store.TransactionResult

/** An operator's edit: [content] (JSON text) replaces [section] if the section still has [expectedVersion]. */
data class ConfigurationEdit(
    val edit: EditId,
    val section: ConfigurationSection,
    val expectedVersion: Long,
    val content: String,
    val author: String,
)

/** Whether an attempt that failed may have taken effect; says nothing of earlier attempts with the same edit id. */
enum class EditOutcome { NOT_APPLIED, UNKNOWN }

/** How an edit ended. */
sealed interface EditResult {
    /** The edit is in the platform; [repeated] where this was a retry of one that had taken effect before. */
    data class Accepted(
        val version: Long,
        val revision: Long,
        val repeated: Boolean,
    ) : EditResult

    /** Somebody else edited the section first; it has [presentVersion] now. Not applied. */
    data class VersionConflict(
        val presentVersion: Long,
    ) : EditResult

    /**
     * The platform shows [presentVersion], older than the one expected: either the caller is wrong or the platform
     * answered with older rows. This attempt wrote nothing; an earlier one with the same edit id may have.
     */
    data class VersionNotReached(
        val presentVersion: Long,
    ) : EditResult

    /** The document would not be valid. Not applied. */
    data class Invalid(
        val errors: List<ConfigurationError>,
    ) : EditResult

    /** The edit id belongs to another edit. This one isn't applied. */
    data object EditIdReused : EditResult

    /** The platform didn't answer, or other edits kept coming first. */
    data class PlatformUnavailable(
        val outcome: EditOutcome,
    ) : EditResult

    /** The platform holds configuration rows that this version can't read or that don't fit each other. */
    data class UnreadableRows(
        val outcome: EditOutcome,
    ) : EditResult
}

/** What the editor is told. */
sealed interface EditorEvent {
    /** An operator sent [edit], perhaps again. */
    data class EditRequested(
        val edit: ConfigurationEdit,
    ) : EditorEvent

    /** The answer to [EditorDecision.ReadRows]. */
    data class RowsRead(
        val edit: EditId,
        val result: Either<StoreFailure, Map<RowKey, Row>>,
    ) : EditorEvent

    /** The answer to [EditorDecision.Transact]. */
    data class TransactionCompleted(
        val edit: EditId,
        val result: Either<StoreFailure, TransactionResult>,
    ) : EditorEvent
}

/** What the editor wants done. */
sealed interface EditorDecision {
    /** Read [keys] and feed [EditorEvent.RowsRead]. */
    data class ReadRows(
        val edit: EditId,
        val keys: Set<RowKey>,
    ) : EditorDecision

    /** Send [writes] as one transaction and feed [EditorEvent.TransactionCompleted]. */
    data class Transact(
        val edit: EditId,
        val writes: List<ConditionalWrite>,
    ) : EditorDecision

    /** Answer every caller that waits for exactly this [edit]. */
    data class CompleteEdit(
        val edit: ConfigurationEdit,
        val result: EditResult,
    ) : EditorDecision
}

/**
 * An edit in progress. [failedAttempts] counts calls to the platform that failed or lost a race; [resultIfCommitted] is
 * what the last transaction leads to if it took effect; [mayHaveApplied] once a transaction's answer was lost.
 */
data class PendingEdit(
    val edit: ConfigurationEdit,
    val failedAttempts: Int = 0,
    val resultIfCommitted: EditResult.Accepted? = null,
    val mayHaveApplied: Boolean = false,
)

/** The edits in progress at this daemon. */
data class EditorState(
    val pending: Map<EditId, PendingEdit> = emptyMap(),
)
