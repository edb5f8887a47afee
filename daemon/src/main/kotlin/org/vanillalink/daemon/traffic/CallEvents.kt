/*
 * What calls tell the control thread.
 */
package org.vanillalink.daemon.traffic

import org.vanillalink.dispatch.record.CallOutcome
import org.vanillalink.dispatch.record.KeyedCall
import org.vanillalink.model.Refusal
import org.vanillalink.model.RequestId
import org.vanillalink.model.ServiceName
import org.vanillalink.routing.RouterEvent
import org.vanillalink.transport.AnswerWriter

/** Takes news of calls from any thread. */
interface CallEvents {
    /** [call] arrived. */
    fun arrived(
        call: ActiveCall,
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

    /** Something happened to a call's attempt. */
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
        answer: AnswerWriter,
    ): AnswerWriter
}
