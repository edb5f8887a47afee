/*
 * A caller's request that has no final answer yet.
 */
package org.vanillalink.daemon.traffic

import org.vanillalink.control.AttemptTarget
import org.vanillalink.model.AttemptId
import org.vanillalink.model.HostId
import org.vanillalink.model.Refusal
import org.vanillalink.model.RequestId

/** What the control thread tells a request. */
interface ActiveCall {
    /** The request's id. */
    val request: RequestId

    /** Sends the request to [target]. */
    fun start(
        attempt: Int,
        target: AttemptTarget,
    )

    /** Passes the request to another failure domain's daemon. */
    fun forward(
        attempt: Int,
        target: ForwardTarget,
    )

    /** The attempt that runs, where its progress is watched. */
    val watched: RunningAttempt?

    /** Ends the attempt that runs at [host], if any, as failed. */
    fun endAttemptAt(host: HostId)

    /** Ends [attempt] as failed, if it still runs. */
    fun endAttempt(attempt: AttemptId)

    /** The running attempt's answer is final. */
    fun complete()

    /** Gives the caller [refusal] as the final answer. */
    fun refuse(refusal: Refusal)

    /** Stops the running attempt: nobody waits for it. Gives where it ran, or null where none does. */
    fun stopAttempt(): AttemptTarget?
}
