/*
 * The platform's object store over HTTP.
 */
package org.vanillalink.store.http

import arrow.core.Either
import org.vanillalink.store.ObjectStore
import org.vanillalink.store.StoreFailure
import org.vanillalink.transport.HttpClient
import java.util.concurrent.CompletableFuture

/** An [ObjectStore] behind `GET` and `PUT /objects/{name}`. */
class HttpObjectStore(
    client: HttpClient,
    settings: PlatformSettings,
) : ObjectStore {
    private val caller = PlatformCaller(client, settings)

    override fun get(name: String): CompletableFuture<Either<StoreFailure, ByteArray?>> =
        caller.call("GET", "/objects/$name").thenApply { answer ->
            answer.map { if (it.status == PlatformCaller.NOT_FOUND) null else it.body }
        }

    override fun put(
        name: String,
        content: ByteArray,
    ): CompletableFuture<Either<StoreFailure, Unit>> =
        caller.call("PUT", "/objects/$name", content).thenApply { answer -> answer.map { } }
}
