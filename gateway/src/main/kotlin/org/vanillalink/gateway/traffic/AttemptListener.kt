/*
 * Passes the parts of a response to its call while the attempt is the current one.
 */
package org.vanillalink.gateway.traffic

import org.vanillalink.transport.HeaderFields
import org.vanillalink.transport.ResponseListener
import org.vanillalink.transport.TransportFailure

internal class AttemptListener(
    private val call: ProxiedCall,
    private val attemptId: Int,
) : ResponseListener {
    override fun onHead(
        status: Int,
        headers: HeaderFields,
    ) {
        if (!call.isCurrentAttempt(attemptId)) return
        call.recordProgress()
        call.onHead(status, headers)
    }

    override fun onBodyChunk(bytes: ByteArray) {
        if (!call.isCurrentAttempt(attemptId)) return
        call.recordProgress()
        call.onBodyChunk(bytes)
    }

    override fun onComplete() {
        if (call.isCurrentAttempt(attemptId)) call.onComplete()
    }

    override fun onFailure(failure: TransportFailure) {
        if (call.isCurrentAttempt(attemptId)) call.onFailure(failure)
    }
}
