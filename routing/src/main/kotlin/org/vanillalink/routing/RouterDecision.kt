/*
 * Decisions of the router. Each request gets exactly one AnswerRequest or RefuseRequest, unless its caller cancelled
 * it.
 */
package org.vanillalink.routing

import org.vanillalink.model.BootId
import org.vanillalink.model.DaemonId
import org.vanillalink.model.HostId
import org.vanillalink.model.Refusal
import org.vanillalink.model.RequestId
import org.vanillalink.model.ServiceName

/** A decision of the [Router]. */
sealed interface RouterDecision {
    /** Send the request to [host]. Attempts and forwards of a request share one count that starts at 1. */
    data class StartAttempt(
        val request: RequestId,
        val attempt: Int,
        val host: HostId,
        val boot: BootId,
    ) : RouterDecision

    /** Forward the request to [daemon], marked as forwarded; its outcome is fed back like that of an attempt. */
    data class ForwardRequest(
        val request: RequestId,
        val attempt: Int,
        val daemon: DaemonId,
    ) : RouterDecision

    /** Cancel the attempt at the target; feed [RouterEvent.AttemptExecutionEnded] once the target confirms its end. */
    data class CancelAttempt(
        val request: RequestId,
        val attempt: Int,
    ) : RouterDecision

    /** Return the attempt's answer to the caller as the final one. */
    data class AnswerRequest(
        val request: RequestId,
        val attempt: Int,
    ) : RouterDecision

    /** Return [refusal] to the caller. */
    data class RefuseRequest(
        val request: RequestId,
        val refusal: Refusal,
    ) : RouterDecision

    /** For the timeline: the service began to refuse requests for lack of capacity, with [queued] requests waiting. */
    data class OverloadBegan(
        val service: ServiceName,
        val queued: Int,
    ) : RouterDecision

    /** For the timeline: the overload ended after [refused] refusals; see [RouterSettings.overloadQuietPeriod]. */
    data class OverloadEnded(
        val service: ServiceName,
        val refused: Int,
    ) : RouterDecision
}
