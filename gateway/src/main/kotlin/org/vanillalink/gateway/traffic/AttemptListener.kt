/*
 * Passes an answer's parts to its call as long as the attempt is the one under way.
 */
package org.vanillalink.gateway.traffic

import org.vanillalink.transport.HeaderFields
import org.vanillalink.transport.ResponseListener
import org.vanillalink.transport.TransportFailure

internal class AttemptListener(
    private val call: ProxiedCall,
    private val generation: Int,
) : ResponseListener {
    override fun onHead(
        status: Int,
        headers: HeaderFields,
    ) {
        if (!call.isCurrent(generation)) return
        call.moved()
        call.headArrived(status, headers)
    }

    override fun onBodyChunk(bytes: ByteArray) {
        if (!call.isCurrent(generation)) return
        call.moved()
        call.piece(bytes)
    }

    override fun onComplete() {
        if (call.isCurrent(generation)) call.whole()
    }

    override fun onFailure(failure: TransportFailure) {
        if (call.isCurrent(generation)) call.failed(failure)
    }
}
