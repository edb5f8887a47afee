/*
 * The configuration's rows in the platform's table.
 *
 * The row `configuration/revision` stays small because daemons poll it. Recent edits are kept in rows of their own,
 * chosen by a checksum of the edit id, so that an edit rewrites only a small part of what is remembered.
 */
package org.vanillalink.configuration

import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.module.kotlin.jacksonObjectMapper
import com.fasterxml.jackson.module.kotlin.readValue
import org.vanillalink.store.Row
import org.vanillalink.store.RowKey
import java.util.zip.CRC32

/** An edit that took effect, and what it led to. */
data class RecordedEdit(
    val edit: EditId,
    val section: ConfigurationSection,
    val version: Long,
    val revision: Long,
)

/** Names, writes and reads the rows. */
object ConfigurationRows {
    /** Rows among which recent edits are spread. */
    const val RECENT_EDIT_ROWS = 16

    /** Edits remembered in each of those rows; the oldest are forgotten first. */
    const val MAX_EDITS_PER_ROW = 128

    /** The row with the revision and the sections' versions. */
    val REVISION_KEY = RowKey("configuration/revision")

    private val mapper = jacksonObjectMapper()

    /** The row of [section]. */
    fun sectionKey(section: ConfigurationSection): RowKey = RowKey("configuration/${section.wireName}")

    /** The row that remembers [edit]. */
    fun recentEditsKey(edit: EditId): RowKey {
        val checksum = CRC32().apply { update(edit.value.toByteArray()) }.value
        return RowKey("configuration/recent-edits/${checksum % RECENT_EDIT_ROWS}")
    }

    /** The JSON text of [value], which is one of the classes of the configuration's rows. */
    fun encode(value: Any): String = mapper.writeValueAsString(value)

    /** The revision in [row]; the empty one where [row] is absent, null where it can't be read. */
    fun decodeRevision(row: Row?): RevisionVersions? {
        if (row == null) return RevisionVersions.EMPTY
        return decodeOrNull { mapper.readValue<RevisionVersions>(row.value) }
    }

    /** The section in [row]; the never edited one where [row] is absent, null where it can't be read. */
    fun decodeSection(row: Row?): StoredSection? {
        if (row == null) return StoredSection.NEVER_EDITED
        return decodeOrNull { mapper.readValue<StoredSection>(row.value) }
    }

    /** The edits in [row]; none where [row] is absent, null where it can't be read. */
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
