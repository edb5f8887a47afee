/*
 * Calls to other daemons.
 */
package org.vanillalink.daemon.peers

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import org.vanillalink.model.Endpoint
import org.vanillalink.transport.HeaderFields
import org.vanillalink.transport.HttpClient
import org.vanillalink.transport.HttpRequestMessage
import org.vanillalink.transport.HttpResponseMessage
import org.vanillalink.transport.Json
import java.time.Duration
import java.util.concurrent.CompletableFuture

/** Why a peer gave no usable answer. */
sealed interface PeerFailure {
    /** No answer in time. */
    data class Unreachable(
        val detail: String,
    ) : PeerFailure

    /** An answer of another shape, or a refusal. */
    data class Malformed(
        val detail: String,
    ) : PeerFailure
}

/** Calls peers with [secret], and gives up after [timeout]. */
class PeerClient(
    private val client: HttpClient,
    private val secret: String?,
    private val timeout: Duration,
) {
    /** The header fields that let a message in. */
    val credentials: HeaderFields =
        if (secret == null) HeaderFields() else HeaderFields.of(PeerProtocol.SECRET_HEADER to secret)

    /** Posts [message] to [path]. */
    fun <T> post(
        peer: Endpoint,
        path: String,
        message: Any,
        type: Class<T>,
    ): CompletableFuture<Either<PeerFailure, T>> =
        call(peer, HttpRequestMessage("POST", path, credentials, Json.write(message)), type)

    /** Gets [path]. */
    fun <T> get(
        peer: Endpoint,
        path: String,
        type: Class<T>,
    ): CompletableFuture<Either<PeerFailure, T>> = call(peer, HttpRequestMessage("GET", path, credentials), type)

    private fun <T> call(
        peer: Endpoint,
        request: HttpRequestMessage,
        type: Class<T>,
    ): CompletableFuture<Either<PeerFailure, T>> = client.call(peer, request, timeout).thenApply { answer ->
        answer
            .mapLeft { PeerFailure.Unreachable(it.detail) }
            .flatMap(::successful)
            .flatMap { decode(it, type) }
    }

    private fun successful(answer: HttpResponseMessage): Either<PeerFailure, HttpResponseMessage> =
        if (answer.status == OK) answer.right() else PeerFailure.Malformed("status ${answer.status}").left()

    private fun <T> decode(
        answer: HttpResponseMessage,
        type: Class<T>,
    ): Either<PeerFailure, T> = Json.read(answer.body, type).mapLeft { PeerFailure.Malformed(it.detail) }

    private companion object {
        const val OK = 200
    }
}
