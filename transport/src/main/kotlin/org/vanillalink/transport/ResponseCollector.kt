/*
 * Collects a complete response in memory, for calls with a timeout and a bounded body. What all of them hold is limited
 * together with everything else in the memory budget.
 */
package org.vanillalink.transport

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.util.concurrent.CompletableFuture

internal class ResponseCollector(
    memory: MemoryBudget,
) : ResponseListener {
    val response = CompletableFuture<Either<TransportFailure, HttpResponseMessage>>()

    private val body = HeldBody(memory, HttpClient.MAX_COLLECTED_BODY_BYTES) { giveUp(MEMORY_USED_UP) }
    private var status = 0
    private var headers = HeaderFields()
    private var isEnded = false

    @Volatile
    private var closeExchange: () -> Unit = {}

    fun onTooLarge(action: () -> Unit) {
        closeExchange = action
    }

    /** Closes [exchange] unless it has ended. Returns whether the call timed out, that is, had not ended before. */
    fun timeOut(exchange: OutgoingExchange): Boolean {
        val hasTimedOut = response.complete(TransportFailure.TimedOut("no complete response before the timeout").left())
        if (hasTimedOut) exchange.close()
        discard()
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
        when (keep(bytes)) {
            null -> return
            BodyOverflow.TOO_LARGE -> giveUp("body larger than ${HttpClient.MAX_COLLECTED_BODY_BYTES} bytes")
            BodyOverflow.MEMORY_LIMIT -> giveUp(MEMORY_USED_UP)
        }
    }

    private fun giveUp(reason: String) {
        onFailure(TransportFailure.MalformedResponse(reason))
        closeExchange()
    }

    override fun onComplete() {
        val whole = synchronized(body) { body.toByteArray() }
        discard()
        response.complete(HttpResponseMessage(status, headers, whole).right())
    }

    override fun onFailure(failure: TransportFailure) {
        discard()
        response.complete(failure.left())
    }

    /** The timeout, and others that need the memory, may be on other threads. */
    private fun keep(bytes: ByteArray): BodyOverflow? = synchronized(body) { if (isEnded) null else body.append(bytes) }

    private fun discard() = synchronized(body) {
        isEnded = true
        body.release()
    }

    private companion object {
        const val MEMORY_USED_UP = "the memory for bodies is used up, and this one is the largest"
    }
}
