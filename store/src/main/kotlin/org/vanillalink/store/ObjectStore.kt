/*
 * The platform's object store, for values that are too large for a table row.
 */
package org.vanillalink.store

import arrow.core.Either
import java.util.concurrent.CompletableFuture

/** Objects are immutable once written: their names contain a hash or an attempt id. */
interface ObjectStore {
    /** Reads the object [name]; null if it does not exist. */
    fun get(name: String): CompletableFuture<Either<StoreFailure, ByteArray?>>

    /** Stores [content] under [name]. */
    fun put(
        name: String,
        content: ByteArray,
    ): CompletableFuture<Either<StoreFailure, Unit>>
}
