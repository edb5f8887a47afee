/*
 * The platform's object store, for values too large for a table row.
 */
package org.vanillalink.store

import arrow.core.Either
import java.util.concurrent.CompletableFuture

/** Access to the object store. Objects are never changed once written: names contain a hash or an attempt. */
interface ObjectStore {
    /** The content of [name], or null where there is none. */
    fun get(name: String): CompletableFuture<Either<StoreFailure, ByteArray?>>

    /** Stores [content] under [name]. */
    fun put(
        name: String,
        content: ByteArray,
    ): CompletableFuture<Either<StoreFailure, Unit>>
}
