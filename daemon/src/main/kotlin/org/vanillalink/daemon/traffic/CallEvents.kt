/*
 * What calls tell the control thread.
 */
package org.vanillalink.daemon.traffic

import org.vanillalink.control.AttemptTarget
import org.vanillalink.dispatch.record.CallFingerprint
import org.vanillalink.dispatch.record.CallOutcome
import org.vanillalink.dispatch.record.KeyedCall
import org.vanillalink.model.Refusal
import org.vanillalink.model.RequestId
import org.vanillalink.model.ServiceName
import org.vanillalink.routing.RouterEvent
import org.vanillalink.transport.ResponseWriter

/** Takes news of calls from any thread. */
interface CallEvents {
    /** [call] arrived. */
    fun arrived(
        call: ActiveCall,
        event: RouterEvent.RequestArrived,
    )

    /** [call] of a model arrived; [fingerprint] is the same for each of its resends. */
    fun modelCallArrived(
        call: ActiveCall,
        fingerprint: CallFingerprint,
        event: RouterEvent.RequestArrived,
    )

    /** [call], which has an idempotency key, arrived. */
    fun keyedCallArrived(
        call: ActiveCall,
        keyed: KeyedCall,
        event: RouterEvent.RequestArrived,
    )

    /** A target answered a keyed call whole. */
    fun keyedCallAnswered(
        finished: RouterEvent.AttemptFinished,
        outcome: CallOutcome,
    )

    /** An attempt failed that ran at [target], or at another failure domain's daemon where that is null. */
    fun attemptFailed(
        event: RouterEvent.AttemptFailed,
        target: AttemptTarget?,
    )

    /** Something else happened to a call. */
    fun happened(event: RouterEvent)

    /** [request] was refused before it became a call; [forwarded] where another daemon passed it on. */
    fun refusedAtEntry(
        request: RequestId,
        refusal: Refusal,
        forwarded: Boolean,
    )

    /** [request] is what another daemon passed on as its attempt [forwardingAttempt]. */
    fun forwardedArrived(
        request: RequestId,
        forwardingAttempt: String,
    )

    /** [answer], watched for the time that [service] takes to its first bytes. */
    fun timed(
        service: ServiceName,
        answer: ResponseWriter,
    ): ResponseWriter
}
