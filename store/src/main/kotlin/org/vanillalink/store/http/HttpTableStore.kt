/*
 * HTTP client of the platform's table service.
 */
package org.vanillalink.store.http

import arrow.core.Either
import org.vanillalink.store.ConditionalWrite
import org.vanillalink.store.Row
import org.vanillalink.store.RowKey
import org.vanillalink.store.StoreFailure
import org.vanillalink.store.TableStore
import org.vanillalink.store.TransactionResult
import org.vanillalink.transport.HttpClient
import java.util.concurrent.CompletableFuture

/** A [TableStore] over `POST /table/read`, `/table/scan` and `/table/transact`. */
class HttpTableStore(
    client: HttpClient,
    settings: PlatformSettings,
) : TableStore {
    private val platform = PlatformHttpClient(client, settings)

    override fun read(keys: Set<RowKey>): CompletableFuture<Either<StoreFailure, Map<RowKey, Row>>> = platform
        .postJson("/table/read", ReadRequest(keys.map { it.value }), RowsResponse::class.java)
        .thenApply { response -> response.map(::toRows) }

    override fun scan(prefix: String): CompletableFuture<Either<StoreFailure, Map<RowKey, Row>>> = platform
        .postJson("/table/scan", ScanRequest(prefix), RowsResponse::class.java)
        .thenApply { response -> response.map(::toRows) }

    override fun transact(writes: List<ConditionalWrite>): CompletableFuture<Either<StoreFailure, TransactionResult>> {
        val messages = writes.map { WriteMessage(it.key.value, it.expectedVersion, it.value) }
        return platform
            .postJson("/table/transact", TransactionRequest(messages), TransactionResponse::class.java)
            .thenApply { response -> response.map(::toResult) }
    }

    private fun toRows(response: RowsResponse): Map<RowKey, Row> =
        response.rows.entries.associate { (key, row) -> RowKey(key) to Row(row.version, row.value) }

    private fun toResult(response: TransactionResponse): TransactionResult {
        if (response.committed) return TransactionResult.Committed(response.versions.mapKeys { RowKey(it.key) })
        val actual =
            response.actual.entries.associate { (key, row) ->
                RowKey(key) to
                    row?.let { Row(it.version, it.value) }
            }
        return TransactionResult.Conflict(actual)
    }
}
