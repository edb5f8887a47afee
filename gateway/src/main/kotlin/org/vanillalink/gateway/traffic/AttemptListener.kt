/*
 * Passes the parts of a response to its call while the attempt is in progress.
 */
package org.vanillalink.gateway.traffic

import org.vanillalink.transport.HeaderFields
import org.vanillalink.transport.ResponseListener
import org.vanillalink.transport.TransportFailure

internal class AttemptListener(
    private val call: ProxiedCall,
    private val attempt: Attempt,
) : ResponseListener {
    /** A call that has ended has no attempt. */
    private val isCurrent: Boolean get() = attempt === call.attempts.current
    private val isInProgress: Boolean get() = isCurrent || attempt === call.attempts.hedge

    override fun onHead(
        status: Int,
        headers: HeaderFields,
    ) {
        if (!isInProgress) return
        call.attempts.recordProgress(attempt)
        call.onHead(attempt, status, headers)
    }

    override fun onBodyChunk(bytes: ByteArray) {
        if (!isCurrent) return
        call.attempts.recordProgress(attempt)
        call.onBodyChunk(bytes)
    }

    override fun onComplete() {
        if (isCurrent) call.onComplete()
    }

    override fun onFailure(failure: TransportFailure) {
        if (isInProgress) call.onFailure(attempt, failure)
    }
}
