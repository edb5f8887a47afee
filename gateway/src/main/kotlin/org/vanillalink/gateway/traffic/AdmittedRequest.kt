/*
 * A caller's request with all that its way depends on.
 */
package org.vanillalink.gateway.traffic

import org.vanillalink.gateway.ports.CallMarks
import org.vanillalink.serving.balancing.RequestFingerprint
import org.vanillalink.serving.catalog.Route
import org.vanillalink.serving.catalog.ServiceDefinition
import org.vanillalink.serving.catalog.Workspace
import org.vanillalink.transport.HttpRequestMessage
import java.time.Duration

/** A request that has passed all checks. Times are milliseconds on the steady clock. */
internal class AdmittedRequest(
    val message: HttpRequestMessage,
    val marks: CallMarks,
    val route: Route,
    val service: ServiceDefinition,
    val workspace: Workspace?,
    val arrivedAt: Long,
    /** When the final answer is due at the latest. */
    val answerBy: Long,
    val callerDeadline: Long,
    val fingerprint: RequestFingerprint,
) {
    /**
     * When room is likely: engines work off a batch, or groups form anew, in a second or two; plain services sooner.
     * Targets that all want nothing for [restLeft] milliseconds have said themselves when to come back.
     */
    fun retryAfter(
        now: Long,
        restLeft: Long?,
    ): Duration {
        if (restLeft != null) return Duration.ofMillis(restLeft)
        val usual = if (service.engine == null) PLAIN_RETRY_AFTER else ENGINE_RETRY_AFTER
        val left = Duration.ofMillis(maxOf(0, callerDeadline - now))
        return minOf(usual, left.dividedBy(RETRY_AFTER_SHARE_OF_REST))
    }

    companion object {
        /** Another daemon may know better at once. */
        val ELSEWHERE_RETRY_AFTER: Duration = Duration.ofMillis(300)
        private val ENGINE_RETRY_AFTER: Duration = Duration.ofMillis(1_500)
        private val PLAIN_RETRY_AFTER: Duration = Duration.ofMillis(200)

        /** Callers wait at most a third of the time that they have left. */
        private const val RETRY_AFTER_SHARE_OF_REST = 3L
    }
}
