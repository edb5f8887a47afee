/*
 * Collects a complete response in memory, for calls with a timeout and a bounded body.
 */
package org.vanillalink.transport

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.io.ByteArrayOutputStream
import java.util.concurrent.CompletableFuture

internal class ResponseCollector : ResponseListener {
    val response = CompletableFuture<Either<TransportFailure, HttpResponseMessage>>()

    private val body = ByteArrayOutputStream()
    private var status = 0
    private var headers = HeaderFields()

    @Volatile
    private var closeExchange: () -> Unit = {}

    fun onTooLarge(action: () -> Unit) {
        closeExchange = action
    }

    /** Closes [exchange] unless it has ended. Returns whether the call timed out, that is, had not ended before. */
    fun timeOut(exchange: OutgoingExchange): Boolean {
        val hasTimedOut = response.complete(TransportFailure.TimedOut("no complete response before the timeout").left())
        if (hasTimedOut) exchange.close()
        return hasTimedOut
    }

    override fun onHead(
        status: Int,
        headers: HeaderFields,
    ) {
        this.status = status
        this.headers = headers
    }

    override fun onBodyChunk(bytes: ByteArray) {
        if (body.size() + bytes.size > HttpClient.MAX_COLLECTED_BODY_BYTES) {
            onFailure(
                TransportFailure.MalformedResponse("body larger than ${HttpClient.MAX_COLLECTED_BODY_BYTES} bytes"),
            )
            closeExchange()
            return
        }
        body.write(bytes)
    }

    override fun onComplete() {
        response.complete(HttpResponseMessage(status, headers, body.toByteArray()).right())
    }

    override fun onFailure(failure: TransportFailure) {
        response.complete(failure.left())
    }
}
