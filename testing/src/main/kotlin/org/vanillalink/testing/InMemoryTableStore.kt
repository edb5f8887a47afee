/*
 * An in-memory table service with fault injection: unavailable, or losing the response after the write took effect.
 */
package org.vanillalink.testing

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.vanillalink.store.ConditionalWrite
import org.vanillalink.store.Row
import org.vanillalink.store.RowKey
import org.vanillalink.store.StoreFailure
import org.vanillalink.store.TableStore
import org.vanillalink.store.TransactionResult
import java.util.TreeMap
import java.util.concurrent.CompletableFuture

/** Fault injected into the calls to [InMemoryTableStore]; ANSWERS is normal operation. */
enum class StoreBehaviour { ANSWERS, UNAVAILABLE, LOSES_ANSWERS }

/** An in-memory [TableStore] with synchronous variants of its calls: [readNow], [scanNow] and [transactNow]. */
class InMemoryTableStore : TableStore {
    private val rows = TreeMap<RowKey, Row>()

    /** Applies to all calls until it is changed. */
    var behaviour: StoreBehaviour = StoreBehaviour.ANSWERS

    override fun read(keys: Set<RowKey>): CompletableFuture<Either<StoreFailure, Map<RowKey, Row>>> =
        CompletableFuture.completedFuture(readNow(keys))

    override fun scan(prefix: String): CompletableFuture<Either<StoreFailure, Map<RowKey, Row>>> =
        CompletableFuture.completedFuture(scanNow(prefix))

    override fun transact(writes: List<ConditionalWrite>): CompletableFuture<Either<StoreFailure, TransactionResult>> =
        CompletableFuture.completedFuture(transactNow(writes))

    /** See [TableStore.read]. */
    fun readNow(keys: Set<RowKey>): Either<StoreFailure, Map<RowKey, Row>> =
        readResult { keys.mapNotNull { key -> rows[key]?.let { key to it } }.toMap() }

    /** See [TableStore.scan]. */
    fun scanNow(prefix: String): Either<StoreFailure, Map<RowKey, Row>> =
        readResult { rows.filterKeys { it.value.startsWith(prefix) }.toMap() }

    /** See [TableStore.transact]. */
    fun transactNow(writes: List<ConditionalWrite>): Either<StoreFailure, TransactionResult> {
        if (behaviour == StoreBehaviour.UNAVAILABLE) return StoreFailure.Unavailable.left()
        val result = apply(writes)
        return if (behaviour == StoreBehaviour.LOSES_ANSWERS) StoreFailure.AnswerLost.left() else result.right()
    }

    private fun apply(writes: List<ConditionalWrite>): TransactionResult {
        val mismatched = writes.filter { (rows[it.key]?.version ?: ConditionalWrite.ABSENT) != it.expectedVersion }
        if (mismatched.isNotEmpty()) return TransactionResult.Conflict(mismatched.associate { it.key to rows[it.key] })
        return TransactionResult.Committed(writes.associate { it.key to write(it) })
    }

    private fun write(write: ConditionalWrite): Long {
        val version = write.expectedVersion + 1
        val value = write.value
        if (value == null) rows.remove(write.key) else rows[write.key] = Row(version, value)
        return version
    }

    private fun <T> readResult(readRows: () -> T): Either<StoreFailure, T> =
        if (behaviour == StoreBehaviour.ANSWERS) readRows().right() else StoreFailure.Unavailable.left()
}
