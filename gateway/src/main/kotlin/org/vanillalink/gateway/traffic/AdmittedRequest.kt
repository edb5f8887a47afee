/*
 * A caller's request with all that its way depends on.
 */
package org.vanillalink.gateway.traffic

import org.vanillalink.gateway.ports.RequestMetadata
import org.vanillalink.serving.balancing.RequestFingerprint
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
    /** When the final answer is due at the latest. */
    val responseDeadline: Long,
    val callerDeadline: Long,
    val fingerprint: RequestFingerprint,
) {
    /**
     * When room is likely: engines work off a batch, or groups form anew, in a second or two; plain services sooner.
     * Targets that all want nothing for [targetRetryAfterMilliseconds] milliseconds have said themselves when to come
     * back.
     */
    fun retryAfter(
        now: Long,
        targetRetryAfterMilliseconds: Long?,
    ): Duration {
        if (targetRetryAfterMilliseconds != null) return Duration.ofMillis(targetRetryAfterMilliseconds)
        val defaultRetryAfter = if (service.engine == null) PLAIN_RETRY_AFTER else ENGINE_RETRY_AFTER
        val remaining = Duration.ofMillis(maxOf(0, callerDeadline - now))
        return minOf(defaultRetryAfter, remaining.dividedBy(RETRY_AFTER_DIVISOR))
    }

    companion object {
        /** Another daemon may know better at once. */
        val OTHER_DAEMON_RETRY_AFTER: Duration = Duration.ofMillis(300)
        private val ENGINE_RETRY_AFTER: Duration = Duration.ofMillis(1_500)
        private val PLAIN_RETRY_AFTER: Duration = Duration.ofMillis(200)

        /** Callers wait at most a third of the time that they have left. */
        private const val RETRY_AFTER_DIVISOR = 3L
    }
}
