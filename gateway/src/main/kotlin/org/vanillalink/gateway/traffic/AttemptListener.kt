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
    override fun onHead(
        status: Int,
        headers: HeaderFields,
    ) {
        if (!call.isInProgress(attempt)) return
        call.recordProgress(attempt)
        call.onHead(attempt, status, headers)
    }

    override fun onBodyChunk(bytes: ByteArray) {
        if (!call.isInProgress(attempt)) return
        call.recordProgress(attempt)
        call.onBody(attempt, bytes)
    }

    override fun onComplete() {
        if (call.isInProgress(attempt)) call.onEnd(attempt)
    }

    override fun onFailure(failure: TransportFailure) {
        if (call.isInProgress(attempt)) call.onFailure(attempt, failure)
    }
}
