/*
 * Counts calls to the platform's table service and remembers whether it answered.
 */
package org.vanillalink.daemon.metrics

import arrow.core.Either
import io.micrometer.core.instrument.MeterRegistry
import org.vanillalink.store.ConditionalWrite
import org.vanillalink.store.Row
import org.vanillalink.store.RowKey
import org.vanillalink.store.StoreFailure
import org.vanillalink.store.TableStore
import org.vanillalink.store.TransactionResult
import java.util.concurrent.CompletableFuture

/** A [TableStore] that passes calls on to [table]. */
class MeteredTableStore(
    private val table: TableStore,
    private val registry: MeterRegistry,
) : TableStore {
    /** Whether the last call that ended was answered; false before the first one ended. */
    @Volatile
    var reachable: Boolean = false
        private set

    override fun read(keys: Set<RowKey>): CompletableFuture<Either<StoreFailure, Map<RowKey, Row>>> =
        counted("read", table.read(keys)) { ANSWERED }

    override fun scan(prefix: String): CompletableFuture<Either<StoreFailure, Map<RowKey, Row>>> =
        counted("scan", table.scan(prefix)) { ANSWERED }

    override fun transact(writes: List<ConditionalWrite>): CompletableFuture<Either<StoreFailure, TransactionResult>> =
        counted("transact", table.transact(writes), ::resultOf)

    private fun resultOf(result: TransactionResult): String = when (result) {
        is TransactionResult.Committed -> "committed"
        is TransactionResult.Conflict -> "conflict"
    }

    private fun <T> counted(
        operation: String,
        call: CompletableFuture<Either<StoreFailure, T>>,
        describe: (T) -> String,
    ): CompletableFuture<Either<StoreFailure, T>> = call.thenApply { answer ->
        reachable = answer.isRight()
        val result = answer.fold(::failureOf, describe)
        registry.counter("vanillalink.table.calls", "operation", operation, "result", result).increment()
        answer
    }

    private fun failureOf(failure: StoreFailure): String = when (failure) {
        StoreFailure.Unavailable -> "unavailable"
        StoreFailure.AnswerLost -> "answer-lost"
    }

    private companion object {
        const val ANSWERED = "answered"
    }
}
