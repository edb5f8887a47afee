/*
 * The platform's transactional table service, as the system sees it.
 *
 * Every change is conditional on the versions of the rows that it was decided on. An answer can be lost after the write
 * took effect, so a failure says whether the write may have happened.
 */
package org.vanillalink.store

import arrow.core.Either
import java.util.concurrent.CompletableFuture

/** The name of a row, with parts separated by slashes: `hosts/{host}`. */
data class RowKey(
    val value: String,
) : Comparable<RowKey> {
    override fun compareTo(other: RowKey): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** A row's content (JSON) and its version, which starts at 1 and grows with each write. */
data class Row(
    val version: Long,
    val value: String,
)

/** A write that takes effect only if the row has [expectedVersion]; [ABSENT] for a row that must not exist. */
data class ConditionalWrite(
    val key: RowKey,
    val expectedVersion: Long,
    val value: String?,
) {
    companion object {
        /** The version of a row that doesn't exist. */
        const val ABSENT = 0L
    }
}

/** What became of a transaction that the table service answered. */
sealed interface TransactionResult {
    /** All writes took effect; [versions] are the rows' new ones. */
    data class Committed(
        val versions: Map<RowKey, Long>,
    ) : TransactionResult

    /** No write took effect; [actual] holds the rows that differed from what was expected, null where absent. */
    data class Conflict(
        val actual: Map<RowKey, Row?>,
    ) : TransactionResult
}

/** Why the table service gave no answer. */
sealed interface StoreFailure {
    /** The call certainly had no effect. */
    data object Unavailable : StoreFailure

    /** The call may have taken effect. */
    data object AnswerLost : StoreFailure
}

/** Access to the table service. Every call completes once, on any thread. */
interface TableStore {
    /** Reads [keys]; rows that don't exist are left out. */
    fun read(keys: Set<RowKey>): CompletableFuture<Either<StoreFailure, Map<RowKey, Row>>>

    /** Reads all rows whose key starts with [prefix]. */
    fun scan(prefix: String): CompletableFuture<Either<StoreFailure, Map<RowKey, Row>>>

    /** Applies all of [writes] or none. */
    fun transact(writes: List<ConditionalWrite>): CompletableFuture<Either<StoreFailure, TransactionResult>>
}
