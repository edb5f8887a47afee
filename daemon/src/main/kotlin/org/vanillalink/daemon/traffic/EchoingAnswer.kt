/*
 * The answer to a request that another daemon passed on. It repeats that daemon's attempt, so that the daemon can tell
 * its answer, and its refusal, from another one.
 */
package org.vanillalink.daemon.traffic

import org.vanillalink.targets.TargetProtocol
import org.vanillalink.transport.HeaderFields
import org.vanillalink.transport.ResponseWriter

internal class EchoingAnswer(
    private val answer: ResponseWriter,
    private val attempt: String,
) : ResponseWriter by answer {
    override fun start(
        status: Int,
        headers: HeaderFields,
    ) = answer.start(status, headers.with(TargetProtocol.ATTEMPT_HEADER, attempt))

    override fun respond(
        status: Int,
        headers: HeaderFields,
        body: ByteArray,
    ) = answer.respond(status, headers.with(TargetProtocol.ATTEMPT_HEADER, attempt), body)
}
