/*
 * Client interface for the control calls to targets: reports, orders, cancellations.
 */
package org.vanillalink.targets

import arrow.core.Either
import org.vanillalink.model.AttemptId
import org.vanillalink.model.Endpoint
import org.vanillalink.model.TargetReport
import org.vanillalink.transport.ConnectionPolicy
import java.util.concurrent.CompletableFuture

/** The reasons why a call to a target has no usable response. */
sealed interface TargetFailure {
    /** The target did not respond, or the connection was closed early. */
    data class Unreachable(
        val detail: String,
    ) : TargetFailure

    /** The response violates the protocol. */
    data class Malformed(
        val detail: String,
    ) : TargetFailure
}

/** Client of the targets' control interface. */
interface TargetClient {
    /**
     * Fetches the report over [connection]. A new connection can reach a target whose existing connection has become
     * unresponsive.
     */
    fun fetchReport(
        target: Endpoint,
        connection: ConnectionPolicy = ConnectionPolicy.REUSE_IDLE,
    ): CompletableFuture<Either<TargetFailure, TargetReport>>

    /** Sends [order]. */
    fun sendOrder(
        target: Endpoint,
        order: OrderMessage,
    ): CompletableFuture<Either<TargetFailure, OrderResponse>>

    /** Cancels [attempt]; completes once the target confirms that it is no longer executing it. */
    fun cancelAttempt(
        target: Endpoint,
        attempt: AttemptId,
    ): CompletableFuture<Either<TargetFailure, Unit>>
}
