/*
 * Events, decisions and state of the configuration editor, and the results of edits.
 */
package org.vanillalink.configuration

import arrow.core.Either
import org.vanillalink.store.ConditionalWrite
import org.vanillalink.store.Row
import org.vanillalink.store.RowKey
import org.vanillalink.store.StoreFailure
import org.vanillalink.store.TransactionResult

/** An operator's edit: [content] (JSON text) replaces [section] if the section is still at [expectedVersion]. */
data class ConfigurationEdit(
    val edit: EditId,
    val section: ConfigurationSection,
    val expectedVersion: Long,
    val content: String,
    val author: String,
)

/** Whether a failed attempt may have taken effect; does not cover earlier attempts with the same edit id. */
enum class EditOutcome { NOT_APPLIED, UNKNOWN }

/** Result of an edit, returned to its callers. */
sealed interface EditResult {
    /** The edit is stored in the platform; [repeated] if this was a retry of an edit that had already taken effect. */
    data class Accepted(
        val version: Long,
        val revision: Long,
        val repeated: Boolean,
    ) : EditResult

    /** Another edit changed the section first; its version is now [presentVersion]. Not applied. */
    data class VersionConflict(
        val presentVersion: Long,
    ) : EditResult

    /**
     * The platform returned [presentVersion], which is older than the expected version: either the caller is wrong or
     * the platform returned stale rows. This attempt wrote nothing; an earlier one with the same edit id may have.
     */
    data class VersionNotReached(
        val presentVersion: Long,
    ) : EditResult

    /** The resulting document would be invalid. Not applied. */
    data class Invalid(
        val errors: List<ConfigurationError>,
    ) : EditResult

    /** The edit id belongs to a different edit. This edit is not applied. */
    data object EditIdReused : EditResult

    /** The platform did not respond, or other edits repeatedly committed first. */
    data class PlatformUnavailable(
        val outcome: EditOutcome,
    ) : EditResult

    /** The platform holds configuration rows that this version cannot decode or that are inconsistent. */
    data class UnreadableRows(
        val outcome: EditOutcome,
    ) : EditResult
}

/** Events that the editor handles. */
sealed interface EditorEvent {
    /** An operator sent [edit], possibly as a retry. */
    data class EditRequested(
        val edit: ConfigurationEdit,
    ) : EditorEvent

    /** The result of [EditorDecision.ReadRows]. */
    data class RowsRead(
        val edit: EditId,
        val result: Either<StoreFailure, Map<RowKey, Row>>,
    ) : EditorEvent

    /** The result of [EditorDecision.Transact]. */
    data class TransactionCompleted(
        val edit: EditId,
        val result: Either<StoreFailure, TransactionResult>,
    ) : EditorEvent
}

/** Actions that the editor requests from its executor. */
sealed interface EditorDecision {
    /** Read [keys] and pass the result back as [EditorEvent.RowsRead]. */
    data class ReadRows(
        val edit: EditId,
        val keys: Set<RowKey>,
    ) : EditorDecision

    /** Send [writes] as one transaction and pass the result back as [EditorEvent.TransactionCompleted]. */
    data class Transact(
        val edit: EditId,
        val writes: List<ConditionalWrite>,
    ) : EditorDecision

    /** Return [result] to every caller that waits for exactly this [edit]. */
    data class CompleteEdit(
        val edit: ConfigurationEdit,
        val result: EditResult,
    ) : EditorDecision
}

/**
 * An edit in progress. [failedAttempts] counts calls to the platform that failed or lost a race; [resultIfCommitted] is
 * the result if the last transaction committed; [mayHaveApplied] is set once the response to a transaction was lost.
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
