/*
 * The table service of the capacity model, with rows and bytes counted.
 */
package org.vanillalink.measure

import arrow.core.Either
import org.vanillalink.store.ConditionalWrite
import org.vanillalink.store.Row
import org.vanillalink.store.RowKey
import org.vanillalink.store.StoreFailure
import org.vanillalink.store.TransactionResult

/** Reads and writes [model]'s store. */
internal class CapacityTable(
    private val model: CapacityModel,
) {
    fun read(keys: Set<RowKey>): Either<StoreFailure, Map<RowKey, Row>> {
        model.counters.rowsRead += keys.size
        val asked = keys.sumOf { it.value.length }
        return model.store.readNow(keys).onRight { rows -> count(asked + bytesOf(rows)) }
    }

    fun scan(prefix: String): Either<StoreFailure, Map<RowKey, Row>> = model.store.scanNow(prefix).onRight { rows ->
        model.counters.rowsRead += rows.size
        count(prefix.length + bytesOf(rows))
    }

    fun transact(writes: List<ConditionalWrite>): Either<StoreFailure, TransactionResult> {
        model.counters.rowsWritten += writes.size
        count(writes.sumOf { 2 * it.key.value.length + ROW_BYTES + (it.value?.length ?: 0) })
        return model.store.transactNow(writes)
    }

    private fun bytesOf(rows: Map<RowKey, Row>): Int =
        rows.entries.sumOf { (key, row) -> key.value.length + row.value.length + ROW_BYTES }

    private fun count(bytes: Int) = model.outside(TrafficKind.TABLE, bytes + HTTP_BYTES_PER_CALL)

    private companion object {
        /** JSON around a row: names of properties, versions, punctuation. */
        const val ROW_BYTES = 40
    }
}
