/*
 * Passes an answer's parts to its call as long as the attempt is the one under way.
 */
package org.vanillalink.gateway.traffic

import org.vanillalink.transport.AnswerListener
import org.vanillalink.transport.HeaderFields
import org.vanillalink.transport.TransportFailure

internal class AttemptListener(
    private val call: ProxiedCall,
    private val generation: Int,
) : AnswerListener {
    override fun head(
        status: Int,
        headers: HeaderFields,
    ) {
        if (!call.isCurrent(generation)) return
        call.moved()
        call.headArrived(status, headers)
    }

    override fun piece(bytes: ByteArray) {
        if (!call.isCurrent(generation)) return
        call.moved()
        call.piece(bytes)
    }

    override fun whole() {
        if (call.isCurrent(generation)) call.whole()
    }

    override fun failed(failure: TransportFailure) {
        if (call.isCurrent(generation)) call.failed(failure)
    }
}
