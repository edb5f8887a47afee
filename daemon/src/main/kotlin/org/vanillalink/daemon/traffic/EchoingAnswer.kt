/*
 * The answer to a request that another daemon passed on. It repeats that daemon's attempt, so that the daemon can tell
 * its answer, and its refusal, from another one.
 */
package org.vanillalink.daemon.traffic

import org.vanillalink.targets.TargetProtocol
import org.vanillalink.transport.AnswerWriter
import org.vanillalink.transport.HeaderFields

internal class EchoingAnswer(
    private val answer: AnswerWriter,
    private val attempt: String,
) : AnswerWriter by answer {
    override fun start(
        status: Int,
        headers: HeaderFields,
    ) = answer.start(status, headers.with(TargetProtocol.ATTEMPT_HEADER, attempt))

    override fun answer(
        status: Int,
        headers: HeaderFields,
        body: ByteArray,
    ) = answer.answer(status, headers.with(TargetProtocol.ATTEMPT_HEADER, attempt), body)
}
