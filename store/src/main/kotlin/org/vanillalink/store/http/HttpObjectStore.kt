/*
 * HTTP client of the platform's object store.
 */
package org.vanillalink.store.http

import arrow.core.Either
import org.vanillalink.store.ObjectStore
import org.vanillalink.store.StoreFailure
import org.vanillalink.transport.HttpClient
import java.util.concurrent.CompletableFuture

/** An [ObjectStore] over `GET` and `PUT /objects/{name}`. */
class HttpObjectStore(
    client: HttpClient,
    settings: PlatformSettings,
) : ObjectStore {
    private val platform = PlatformHttpClient(client, settings)

    override fun get(name: String): CompletableFuture<Either<StoreFailure, ByteArray?>> =
        platform.send("GET", "/objects/$name").thenApply { response ->
            response.map { if (it.status == PlatformHttpClient.NOT_FOUND) null else it.body }
        }

    override fun put(
        name: String,
        content: ByteArray,
    ): CompletableFuture<Either<StoreFailure, Unit>> =
        platform.send("PUT", "/objects/$name", content).thenApply { response -> response.map { } }
}
