/*
 * Calls that the control makes to targets: reports, orders, cancels.
 */
package org.vanillalink.targets

import arrow.core.Either
import org.vanillalink.model.AttemptId
import org.vanillalink.model.Endpoint
import org.vanillalink.model.TargetReport
import org.vanillalink.transport.ConnectionPolicy
import java.util.concurrent.CompletableFuture

/** Why a target gave no usable answer. */
sealed interface TargetFailure {
    /** No answer, or a connection that ended early. */
    data class Unreachable(
        val detail: String,
    ) : TargetFailure

    /** An answer that doesn't follow the protocol. */
    data class Malformed(
        val detail: String,
    ) : TargetFailure
}

/** Access to one target's control interface. */
interface TargetClient {
    /** Asks for the report over [connection]; a fresh one looks behind one that is silent. */
    fun fetchReport(
        target: Endpoint,
        connection: ConnectionPolicy = ConnectionPolicy.REUSE_IDLE,
    ): CompletableFuture<Either<TargetFailure, TargetReport>>

    /** Gives an order. */
    fun sendOrder(
        target: Endpoint,
        order: OrderMessage,
    ): CompletableFuture<Either<TargetFailure, OrderResponse>>

    /** Cancels an attempt; completes once the target says that the work has ended. */
    fun cancelAttempt(
        target: Endpoint,
        attempt: AttemptId,
    ): CompletableFuture<Either<TargetFailure, Unit>>
}
