/*
 * The rows that a controller has read or written, with their contents decoded only once.
 *
 * A controller compares the desired with the stored rows several times a second, but they change a few times an hour.
 */
package org.vanillalink.groups

import org.vanillalink.model.GroupId
import org.vanillalink.model.HostId
import org.vanillalink.store.Row
import org.vanillalink.store.RowKey

/** Rows by key; null for a row that was read and does not exist. */
data class StoredRows(
    private val rows: Map<RowKey, Row?> = emptyMap(),
) : Map<RowKey, Row?> by rows {
    /** The claims by host; null for a host without a claim. */
    internal val claims: Map<HostId, HostClaim?> by lazy {
        decodeRows(GroupRows::decodeHost, GroupRows::decodeClaim)
    }

    /** The group rows; null for a row that does not exist. */
    internal val groups: Map<GroupId, GroupRow?> by lazy {
        decodeRows(GroupRows::decodeGroupId, GroupRows::decodeGroup)
    }

    /** Returns these rows updated with [newer]. */
    fun withRows(newer: Map<RowKey, Row?>): StoredRows = StoredRows(rows + newer)

    /** Returns these rows without those of [keys]. */
    fun withoutRows(keys: Set<RowKey>): StoredRows = StoredRows(rows - keys)

    private fun <Id : Any, Content> decodeRows(
        decodeKey: (RowKey) -> Id?,
        decodeValue: (String) -> Content,
    ): Map<Id, Content?> = rows.entries
        .mapNotNull { (key, row) -> decodeKey(key)?.let { it to row?.let { present -> decodeValue(present.value) } } }
        .toMap()
}
