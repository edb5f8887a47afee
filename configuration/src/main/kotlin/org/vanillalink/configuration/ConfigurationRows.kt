/*
 * The configuration's rows in the platform's table.
 *
 * The row `configuration/revision` stays small because daemons poll it. Recent edits are recorded in separate rows,
 * selected by a checksum of the edit id, so that an edit rewrites only a small part of the records.
 */
package org.vanillalink.configuration

import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.module.kotlin.jacksonObjectMapper
import com.fasterxml.jackson.module.kotlin.readValue
import org.vanillalink.store.Row
import org.vanillalink.store.RowKey
import java.util.zip.CRC32

/** An edit that took effect, with the section version and the document revision that it produced. */
data class RecordedEdit(
    val edit: EditId,
    val section: ConfigurationSection,
    val version: Long,
    val revision: Long,
)

/** Keys, encoding and decoding of the rows. */
object ConfigurationRows {
    /** Number of rows across which recent edits are distributed. */
    const val RECENT_EDIT_ROWS = 16

    /** Maximum number of edits recorded in each of these rows; the oldest are dropped first. */
    const val MAX_EDITS_PER_ROW = 128

    /** Key of the row with the document's revision and the sections' versions. */
    val REVISION_KEY = RowKey("configuration/revision")

    private val mapper = jacksonObjectMapper()

    fun sectionKey(section: ConfigurationSection): RowKey = RowKey("configuration/${section.wireName}")

    /** Returns the key of the row in which [edit] is recorded. */
    fun recentEditsKey(edit: EditId): RowKey {
        val checksum = CRC32().apply { update(edit.value.toByteArray()) }.value
        return RowKey("configuration/recent-edits/${checksum % RECENT_EDIT_ROWS}")
    }

    /** Returns [value], an instance of one of the row classes, as JSON text. */
    fun encode(value: Any): String = mapper.writeValueAsString(value)

    /** Returns the revision in [row], the empty revision if [row] is absent, or null if it cannot be decoded. */
    fun decodeRevision(row: Row?): RevisionVersions? {
        if (row == null) return RevisionVersions.EMPTY
        return decodeOrNull { mapper.readValue<RevisionVersions>(row.value) }
    }

    /** Returns the section in [row], the unedited section if [row] is absent, or null if it cannot be decoded. */
    fun decodeSection(row: Row?): StoredSection? {
        if (row == null) return StoredSection.NEVER_EDITED
        return decodeOrNull { mapper.readValue<StoredSection>(row.value) }
    }

    /** Returns the edits in [row], an empty list if [row] is absent, or null if it cannot be decoded. */
    fun decodeEdits(row: Row?): List<RecordedEdit>? {
        if (row == null) return emptyList()
        return decodeOrNull { mapper.readValue<List<RecordedEdit>>(row.value) }
    }

    private fun <Value> decodeOrNull(decode: () -> Value): Value? = try {
        decode()
    } catch (_: JsonProcessingException) {
        null
    }
}
