/*
 * Client interface of the platform's transactional table service.
 *
 * Every write is conditional on the versions of the rows that it is based on (optimistic concurrency control). A
 * response can be lost after the write has taken effect, so a failure says whether the write may have been applied.
 */
package org.vanillalink.store

import arrow.core.Either
import java.util.concurrent.CompletableFuture

/** The key of a row, with segments separated by slashes: `hosts/{host}`. */
data class RowKey(
    val value: String,
) : Comparable<RowKey> {
    override fun compareTo(other: RowKey): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** A row's content (JSON) and its version, which starts at 1 and increases with each write. */
data class Row(
    val version: Long,
    val value: String,
)

/**
 * A write that is applied only if the row has [expectedVersion]; [ABSENT] for a row that must not exist. A null [value]
 * deletes the row.
 */
data class ConditionalWrite(
    val key: RowKey,
    val expectedVersion: Long,
    val value: String?,
) {
    companion object {
        /** The expected version of a row that doesn't exist. */
        const val ABSENT = 0L
    }
}

/** The result of a transaction to which the table service responded. */
sealed interface TransactionResult {
    /** All writes were applied; [versions] are the rows' new versions. */
    data class Committed(
        val versions: Map<RowKey, Long>,
    ) : TransactionResult

    /** No write was applied; [actual] holds the rows whose version was not the expected one, null if absent. */
    data class Conflict(
        val actual: Map<RowKey, Row?>,
    ) : TransactionResult
}

/** The reasons why a call has no result. Their names are logged. */
sealed interface StoreFailure {
    /** The call had no effect. */
    data object Unavailable : StoreFailure

    /** The response was lost or unusable; the call may have taken effect. */
    data object AnswerLost : StoreFailure
}

/** Every call completes exactly once, on an arbitrary thread. */
interface TableStore {
    /** Reads the rows of [keys]; rows that don't exist are absent from the result. */
    fun read(keys: Set<RowKey>): CompletableFuture<Either<StoreFailure, Map<RowKey, Row>>>

    /** Reads all rows whose key starts with [prefix]. */
    fun scan(prefix: String): CompletableFuture<Either<StoreFailure, Map<RowKey, Row>>>

    /** Applies all of [writes] atomically, or none. */
    fun transact(writes: List<ConditionalWrite>): CompletableFuture<Either<StoreFailure, TransactionResult>>
}
