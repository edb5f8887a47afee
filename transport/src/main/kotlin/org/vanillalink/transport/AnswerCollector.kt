/*
 * Collects a whole answer for short calls.
 */
package org.vanillalink.transport

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.io.ByteArrayOutputStream
import java.util.concurrent.CompletableFuture

internal class AnswerCollector : AnswerListener {
    val answer = CompletableFuture<Either<TransportFailure, HttpAnswer>>()

    private val body = ByteArrayOutputStream()
    private var status = 0
    private var headers = HeaderFields()

    @Volatile
    private var closeExchange: () -> Unit = {}

    fun whenTooLarge(action: () -> Unit) {
        closeExchange = action
    }

    /** Gives whether the answer wasn't there in time. */
    fun giveUp(exchange: OutgoingExchange): Boolean {
        val late = answer.complete(TransportFailure.TimedOut("no whole answer in time").left())
        if (late) exchange.close()
        return late
    }

    override fun head(
        status: Int,
        headers: HeaderFields,
    ) {
        this.status = status
        this.headers = headers
    }

    override fun piece(bytes: ByteArray) {
        if (body.size() + bytes.size > HttpClient.ANSWER_BYTES_COLLECTED) {
            failed(TransportFailure.MalformedAnswer("answer larger than ${HttpClient.ANSWER_BYTES_COLLECTED} bytes"))
            closeExchange()
            return
        }
        body.write(bytes)
    }

    override fun whole() {
        answer.complete(HttpAnswer(status, headers, body.toByteArray()).right())
    }

    override fun failed(failure: TransportFailure) {
        answer.complete(failure.left())
    }
}
