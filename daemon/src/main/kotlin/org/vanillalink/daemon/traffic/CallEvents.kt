/*
 * What calls tell the control thread.
 */
package org.vanillalink.daemon.traffic

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
}
