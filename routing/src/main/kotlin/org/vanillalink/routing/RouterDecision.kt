/*
 * What the router wants done. For each request exactly one of AnswerRequest and RefuseRequest is given, unless its
 * caller cancelled it.
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
    /** Send the request to [host]. Attempts and forwardings of a request share one count that starts at 1. */
    data class StartAttempt(
        val request: RequestId,
        val attempt: Int,
        val host: HostId,
        val boot: BootId,
    ) : RouterDecision

    /** Pass the request to [daemon], marked as forwarded; its outcome is fed back as that of an attempt. */
    data class ForwardRequest(
        val request: RequestId,
        val attempt: Int,
        val daemon: DaemonId,
    ) : RouterDecision

    /** Cancel the attempt at the target, and feed [RouterEvent.AttemptExecutionEnded] once the target says it ended. */
    data class CancelAttempt(
        val request: RequestId,
        val attempt: Int,
    ) : RouterDecision

    /** The attempt's answer is the request's final one. */
    data class AnswerRequest(
        val request: RequestId,
        val attempt: Int,
    ) : RouterDecision

    /** Give the caller [refusal] now. */
    data class RefuseRequest(
        val request: RequestId,
        val refusal: Refusal,
    ) : RouterDecision

    /** For the time line: the service began to refuse for lack of capacity. */
    data class OverloadBegan(
        val service: ServiceName,
        val queued: Int,
    ) : RouterDecision

    /** For the time line: the service refused nothing for a while, after [refused] refusals. */
    data class OverloadEnded(
        val service: ServiceName,
        val refused: Int,
    ) : RouterDecision
}
