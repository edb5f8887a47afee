/*
 * JSON bodies of the platform's HTTP interface. The stand-in uses the same types.
 */
package org.vanillalink.store.http

import org.vanillalink.model.Host

/** Body of `POST /table/read`. */
data class ReadRequest(
    val keys: List<String>,
)

/** Body of `POST /table/scan`. */
data class ScanRequest(
    val prefix: String,
)

/** A row in a response. */
data class RowMessage(
    val version: Long,
    val value: String,
)

/** Response to a read or a scan. */
data class RowsResponse(
    val rows: Map<String, RowMessage>,
)

/** One write of a transaction; a null [value] deletes the row. */
data class WriteMessage(
    val key: String,
    val expectedVersion: Long,
    val value: String?,
)

/** Body of `POST /table/transact`. */
data class TransactionRequest(
    val writes: List<WriteMessage>,
)

/** Response to a transaction: [versions] if committed, else the rows that differed in [actual], null if absent. */
data class TransactionResponse(
    val committed: Boolean,
    val versions: Map<String, Long> = emptyMap(),
    val actual: Map<String, RowMessage?> = emptyMap(),
)

/** Response to `GET /hosts`. */
data class HostsResponse(
    val hosts: List<Host>,
)
