/*
 * Calls to targets over HTTP.
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

/** A [TargetClient] that gives up on each call after [timeout]. */
class HttpTargetClient(
    private val client: HttpClient,
    private val timeout: Duration,
) : TargetClient {
    override fun report(
        target: Endpoint,
        connection: ConnectionPolicy,
    ): CompletableFuture<Either<TargetFailure, TargetReport>> =
        call(target, "GET", TargetProtocol.REPORT_PATH, connection = connection).thenApply { answer ->
            answer.flatMap(::successful).flatMap { decode(it, TargetReport::class.java) }
        }

    override fun order(
        target: Endpoint,
        order: OrderMessage,
    ): CompletableFuture<Either<TargetFailure, OrderAnswer>> =
        call(target, "POST", TargetProtocol.ORDERS_PATH, Json.write(order)).thenApply { answer ->
            answer.flatMap { decode(it, OrderAnswer::class.java) }
        }

    override fun cancel(
        target: Endpoint,
        attempt: AttemptId,
    ): CompletableFuture<Either<TargetFailure, Unit>> =
        call(target, "DELETE", TargetProtocol.ATTEMPTS_PATH + attempt).thenApply { answer ->
            answer.flatMap(::successful).map { }
        }

    private fun call(
        target: Endpoint,
        method: String,
        path: String,
        body: ByteArray = ByteArray(0),
        connection: ConnectionPolicy = ConnectionPolicy.REUSE_IDLE,
    ): CompletableFuture<Either<TargetFailure, HttpResponseMessage>> = client
        .call(target, HttpRequestMessage(method, path, body = body), timeout, connection)
        .thenApply { answer -> answer.mapLeft { TargetFailure.Unreachable(it.detail) } }

    private fun successful(answer: HttpResponseMessage): Either<TargetFailure, HttpResponseMessage> =
        if (answer.status in SUCCESS) answer.right() else TargetFailure.Malformed("status ${answer.status}").left()

    private fun <T> decode(
        answer: HttpResponseMessage,
        type: Class<T>,
    ): Either<TargetFailure, T> = Json.read(answer.body, type).mapLeft { TargetFailure.Malformed(it.detail) }

    private companion object {
        val SUCCESS = 200..299
    }
}
