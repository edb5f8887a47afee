/*
 * What calls tell the control thread.
 */
package org.vanillalink.daemon.traffic

import org.vanillalink.control.AttemptTarget
import org.vanillalink.dispatch.record.CallFingerprint
import org.vanillalink.dispatch.record.CallOutcome
import org.vanillalink.dispatch.record.KeyedCall
import org.vanillalink.routing.RouterEvent

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
}
