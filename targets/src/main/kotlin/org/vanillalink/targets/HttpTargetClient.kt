/*
 * HTTP client of the targets' control interface.
 */
package org.vanillalink.targets

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import org.vanillalink.model.AttemptId
import org.vanillalink.model.Endpoint
import org.vanillalink.model.TargetReport
import org.vanillalink.transport.ConnectionPolicy
import org.vanillalink.transport.HttpClient
import org.vanillalink.transport.HttpRequestMessage
import org.vanillalink.transport.HttpResponseMessage
import org.vanillalink.transport.Json
import java.time.Duration
import java.util.concurrent.CompletableFuture

/** A [TargetClient] whose calls fail as unreachable after [timeout]. */
class HttpTargetClient(
    private val client: HttpClient,
    private val timeout: Duration,
) : TargetClient {
    override fun fetchReport(
        target: Endpoint,
        connection: ConnectionPolicy,
    ): CompletableFuture<Either<TargetFailure, TargetReport>> =
        send(target, "GET", TargetProtocol.REPORT_PATH, connection = connection).thenApply { response ->
            response.flatMap(::checkStatus).flatMap { decode(it, TargetReport::class.java) }
        }

    override fun sendOrder(
        target: Endpoint,
        order: OrderMessage,
    ): CompletableFuture<Either<TargetFailure, OrderResponse>> =
        send(target, "POST", TargetProtocol.ORDERS_PATH, Json.write(order)).thenApply { response ->
            response.flatMap { decode(it, OrderResponse::class.java) }
        }

    override fun cancelAttempt(
        target: Endpoint,
        attempt: AttemptId,
    ): CompletableFuture<Either<TargetFailure, Unit>> =
        send(target, "DELETE", TargetProtocol.ATTEMPTS_PATH + attempt).thenApply { response ->
            response.flatMap(::checkStatus).map { }
        }

    private fun send(
        target: Endpoint,
        method: String,
        path: String,
        body: ByteArray = ByteArray(0),
        connection: ConnectionPolicy = ConnectionPolicy.REUSE_IDLE,
    ): CompletableFuture<Either<TargetFailure, HttpResponseMessage>> = client
        .call(target, HttpRequestMessage(method, path, body = body), timeout, connection)
        .thenApply { response -> response.mapLeft { TargetFailure.Unreachable(it.detail) } }

    private fun checkStatus(result: HttpResponseMessage): Either<TargetFailure, HttpResponseMessage> =
        if (result.status in SUCCESS) result.right() else TargetFailure.Malformed("status ${result.status}").left()

    private fun <T> decode(
        response: HttpResponseMessage,
        type: Class<T>,
    ): Either<TargetFailure, T> = Json.read(response.body, type).mapLeft { TargetFailure.Malformed(it.detail) }

    private companion object {
        val SUCCESS = 200..299
    }
}
