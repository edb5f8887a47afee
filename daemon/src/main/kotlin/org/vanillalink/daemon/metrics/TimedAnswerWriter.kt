/*
 * Takes the time to an answer's first bytes.
 */
package org.vanillalink.daemon.metrics

import org.vanillalink.transport.HeaderFields
import org.vanillalink.transport.ResponseWriter

/** Calls [onFirstBytes] once, when the first bytes of a successful answer are written to [answer]. */
class TimedAnswerWriter(
    private val answer: ResponseWriter,
    private val onFirstBytes: () -> Unit,
) : ResponseWriter by answer {
    private var successful = false
    private var written = false

    override fun start(
        status: Int,
        headers: HeaderFields,
    ) {
        successful = isSuccess(status)
        answer.start(status, headers)
    }

    override fun write(bytes: ByteArray) {
        firstBytes()
        answer.write(bytes)
    }

    override fun respond(
        status: Int,
        headers: HeaderFields,
        body: ByteArray,
    ) {
        successful = isSuccess(status)
        firstBytes()
        answer.respond(status, headers, body)
    }

    private fun firstBytes() {
        if (!successful || written) return
        written = true
        onFirstBytes()
    }

    private fun isSuccess(status: Int): Boolean = status in SUCCESSES

    private companion object {
        val SUCCESSES = 200..299
    }
}
