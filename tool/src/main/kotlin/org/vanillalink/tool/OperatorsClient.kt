/*
 * HTTP client for the operators' ports of daemons.
 */
package org.vanillalink.tool

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import org.vanillalink.model.Endpoint
import org.vanillalink.transport.HeaderFields
import org.vanillalink.transport.HttpRequestMessage
import org.vanillalink.transport.HttpResponseMessage
import org.vanillalink.transport.Json
import org.vanillalink.transport.NettyEventLoops
import org.vanillalink.transport.NettyHttpClient
import java.time.Duration

/** Why a request to a daemon has no usable response. */
sealed interface RequestFailure {
    /** The cause, as shown to the operator. */
    val detail: String

    /** Whether a request that changes state may have taken effect, as shown to the operator. */
    val consequence: String get() = "not sent"

    /** No response was received; [mayHaveArrived] is whether the request may have reached the daemon. */
    data class Unreachable(
        override val detail: String,
        val mayHaveArrived: Boolean,
    ) : RequestFailure {
        override val consequence: String get() = if (mayHaveArrived) "it may have arrived" else "not sent"
    }

    /** The daemon responded with status 401. */
    data object Unauthorized : RequestFailure {
        override val detail: String get() = "the secret is missing or wrong"
    }

    /** The response's body could not be decoded. */
    data class Malformed(
        override val detail: String,
    ) : RequestFailure {
        override val consequence: String get() = "it may have taken effect"
    }
}

/** Sends requests to daemons, authorized by [secret] unless it is null. */
class OperatorsClient(
    private val secret: String?,
) : AutoCloseable {
    private val loops = NettyEventLoops(1)
    private val client = NettyHttpClient(loops)

    /** Sends `GET` [path] to [daemon] and decodes the JSON response as [type]. */
    fun <T> get(
        daemon: Endpoint,
        path: String,
        type: Class<T>,
    ): Either<RequestFailure, T> = send(daemon, HttpRequestMessage("GET", path, headers()), type)

    /** Sends `POST` [path] with [message] as JSON to [daemon]; decodes the response as [type] whatever its status. */
    fun <T> post(
        daemon: Endpoint,
        path: String,
        message: Any,
        type: Class<T>,
    ): Either<RequestFailure, T> = send(daemon, HttpRequestMessage("POST", path, headers(), Json.write(message)), type)

    override fun close() = loops.close()

    private fun headers(): HeaderFields {
        val fields = HeaderFields.of("content-type" to "application/json")
        return secret?.let { fields.with("authorization", "Bearer $it") } ?: fields
    }

    private fun <T> send(
        daemon: Endpoint,
        request: HttpRequestMessage,
        type: Class<T>,
    ): Either<RequestFailure, T> = client
        .call(daemon, request, TIMEOUT)
        .join()
        .mapLeft { RequestFailure.Unreachable(it.detail, it.requestMayHaveArrived) }
        .flatMap(::requireAuthorized)
        .flatMap { response -> Json.read(response.body, type).mapLeft { RequestFailure.Malformed(it.detail) } }

    private fun requireAuthorized(response: HttpResponseMessage): Either<RequestFailure, HttpResponseMessage> =
        if (response.status == STATUS_UNAUTHORIZED) RequestFailure.Unauthorized.left() else response.right()

    private companion object {
        const val STATUS_UNAUTHORIZED = 401
        val TIMEOUT: Duration = Duration.ofSeconds(5)
    }
}
