/*
 * HTTP calls to the platform. Failures distinguish whether a write may have taken effect.
 */
package org.vanillalink.store.http

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import org.vanillalink.model.Endpoint
import org.vanillalink.store.StoreFailure
import org.vanillalink.transport.HeaderFields
import org.vanillalink.transport.HttpClient
import org.vanillalink.transport.HttpRequestMessage
import org.vanillalink.transport.HttpResponseMessage
import org.vanillalink.transport.Json
import org.vanillalink.transport.TransportFailure
import java.time.Duration
import java.util.concurrent.CompletableFuture

/** [timeout] applies to each call. */
data class PlatformSettings(
    val endpoint: Endpoint,
    val timeout: Duration = Duration.ofSeconds(2),
)

internal class PlatformHttpClient(
    private val client: HttpClient,
    private val settings: PlatformSettings,
) {
    fun send(
        method: String,
        path: String,
        body: ByteArray = ByteArray(0),
        headers: Map<String, String> = emptyMap(),
    ): CompletableFuture<Either<StoreFailure, HttpResponseMessage>> {
        val headerFields = HeaderFields(headers + ("content-type" to "application/json"))
        return client
            .call(settings.endpoint, HttpRequestMessage(method, path, headerFields, body), settings.timeout)
            .thenApply { response -> response.mapLeft(::toStoreFailure).flatMap(::checkStatus) }
    }

    fun <T> postJson(
        path: String,
        message: Any,
        type: Class<T>,
    ): CompletableFuture<Either<StoreFailure, T>> =
        send("POST", path, Json.write(message)).thenApply { response -> response.flatMap { decode(it, type) } }

    fun <T> decode(
        response: HttpResponseMessage,
        type: Class<T>,
    ): Either<StoreFailure, T> = Json.read(response.body, type).mapLeft { StoreFailure.AnswerLost }

    private fun toStoreFailure(failure: TransportFailure): StoreFailure =
        if (failure.requestMayHaveArrived) StoreFailure.AnswerLost else StoreFailure.Unavailable

    private fun checkStatus(response: HttpResponseMessage): Either<StoreFailure, HttpResponseMessage> =
        when (response.status) {
            in SUCCESS, NOT_MODIFIED, NOT_FOUND -> response.right()
            SERVICE_UNAVAILABLE -> StoreFailure.Unavailable.left()
            else -> StoreFailure.AnswerLost.left()
        }

    companion object {
        const val NOT_FOUND = 404
        private const val NOT_MODIFIED = 304
        private const val SERVICE_UNAVAILABLE = 503
        private val SUCCESS = 200..299
    }
}
