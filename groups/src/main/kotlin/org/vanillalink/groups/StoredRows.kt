/*
 * The rows that a controller has read or written, with their contents decoded once.
 *
 * A controller compares what it wants with what is stored several times a second; the rows change a few times an hour.
 */
package org.vanillalink.groups

import org.vanillalink.model.GroupId
import org.vanillalink.model.HostId
import org.vanillalink.store.Row
import org.vanillalink.store.RowKey

/** Rows by key, null for one that was read and doesn't exist. */
data class StoredRows(
    private val rows: Map<RowKey, Row?> = emptyMap(),
) : Map<RowKey, Row?> by rows {
    /** The claims by host, null for a host without one. */
    internal val claims: Map<HostId, HostClaim?> by lazy {
        decodeRows(GroupRows::decodeHost, GroupRows::decodeClaim)
    }

    /** The groups' rows, null for one that doesn't exist. */
    internal val groups: Map<GroupId, GroupRow?> by lazy {
        decodeRows(GroupRows::decodeGroupId, GroupRows::decodeGroup)
    }

    /** These rows with [newer] in the place of older ones. */
    fun withRows(newer: Map<RowKey, Row?>): StoredRows = StoredRows(rows + newer)

    /** These rows but for [keys]. */
    fun withoutRows(keys: Set<RowKey>): StoredRows = StoredRows(rows - keys)

    private fun <Id : Any, Content> decodeRows(
        decodeKey: (RowKey) -> Id?,
        decodeValue: (String) -> Content,
    ): Map<Id, Content?> = rows.entries
        .mapNotNull { (key, row) -> decodeKey(key)?.let { it to row?.let { present -> decodeValue(present.value) } } }
        .toMap()
}
