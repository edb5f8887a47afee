/*
 * A caller's request with all inputs of its routing.
 */
package org.vanillalink.gateway.traffic

import org.vanillalink.gateway.ports.RequestMetadata
import org.vanillalink.serving.balancing.RequestSignature
import org.vanillalink.serving.balancing.RequestWork
import org.vanillalink.serving.catalog.Route
import org.vanillalink.serving.catalog.ServiceDefinition
import org.vanillalink.serving.catalog.Workspace
import org.vanillalink.transport.HttpRequestMessage
import java.time.Duration

/** A request that has passed all checks. Times are milliseconds on the steady clock. */
internal class AdmittedRequest(
    val message: HttpRequestMessage,
    val metadata: RequestMetadata,
    val route: Route,
    val service: ServiceDefinition,
    val workspace: Workspace?,
    val arrivedAt: Long,
    /** When the final response is due at the latest. */
    val responseDeadline: Long,
    val callerDeadline: Long,
    val signature: RequestSignature,
    val work: RequestWork = RequestWork(),
) {
    /**
     * When capacity is likely: engines finish a batch, or groups are formed again, within one or two seconds; plain
     * services sooner. If all targets sent a Retry-After, the shortest remaining one applies
     * ([targetRetryAfterMilliseconds]).
     */
    fun retryAfter(
        now: Long,
        targetRetryAfterMilliseconds: Long?,
    ): Duration {
        if (targetRetryAfterMilliseconds != null) return Duration.ofMillis(targetRetryAfterMilliseconds)
        val defaultRetryAfter = if (service.engine == null) PLAIN_RETRY_AFTER else ENGINE_RETRY_AFTER
        return minOf(defaultRetryAfter, retryAfterLimit(now))
    }

    /** How long the caller is willing to wait before it comes back. */
    fun retryAfterLimit(now: Long): Duration =
        Duration.ofMillis(maxOf(0, callerDeadline - now)).dividedBy(RETRY_AFTER_DIVISOR)

    companion object {
        /** Short, since another daemon may serve the request at once. */
        val OTHER_DAEMON_RETRY_AFTER: Duration = Duration.ofMillis(300)
        private val ENGINE_RETRY_AFTER: Duration = Duration.ofMillis(1_500)
        private val PLAIN_RETRY_AFTER: Duration = Duration.ofMillis(200)

        /** Callers wait for at most a third of their remaining time. */
        private const val RETRY_AFTER_DIVISOR = 3L
    }
}
