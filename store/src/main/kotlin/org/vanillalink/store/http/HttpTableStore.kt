/*
 * The platform's table service over HTTP.
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

/** A [TableStore] behind `POST /table/read`, `/table/scan` and `/table/transact`. */
class HttpTableStore(
    client: HttpClient,
    settings: PlatformSettings,
) : TableStore {
    private val caller = PlatformCaller(client, settings)

    override fun read(keys: Set<RowKey>): CompletableFuture<Either<StoreFailure, Map<RowKey, Row>>> = caller
        .callJson("/table/read", ReadRequest(keys.map { it.value }), RowsAnswer::class.java)
        .thenApply { answer -> answer.map(::toRows) }

    override fun scan(prefix: String): CompletableFuture<Either<StoreFailure, Map<RowKey, Row>>> = caller
        .callJson("/table/scan", ScanRequest(prefix), RowsAnswer::class.java)
        .thenApply { answer -> answer.map(::toRows) }

    override fun transact(writes: List<ConditionalWrite>): CompletableFuture<Either<StoreFailure, TransactionResult>> {
        val messages = writes.map { WriteMessage(it.key.value, it.expectedVersion, it.value) }
        return caller
            .callJson("/table/transact", TransactionRequest(messages), TransactionAnswer::class.java)
            .thenApply { answer -> answer.map(::toResult) }
    }

    private fun toRows(answer: RowsAnswer): Map<RowKey, Row> =
        answer.rows.entries.associate { (key, row) -> RowKey(key) to Row(row.version, row.value) }

    private fun toResult(answer: TransactionAnswer): TransactionResult {
        if (answer.committed) return TransactionResult.Committed(answer.versions.mapKeys { RowKey(it.key) })
        val actual =
            answer.actual.entries.associate { (key, row) ->
                RowKey(key) to
                    row?.let { Row(it.version, it.value) }
            }
        return TransactionResult.Conflict(actual)
    }
}
