/*
 * The interfaces of the HTTP client.
 */
package org.vanillalink.transport

import arrow.core.Either
import org.vanillalink.model.Endpoint
import java.time.Duration
import java.util.concurrent.CompletableFuture

private val DEFAULT_RESPONSE_TIMEOUT = Duration.ofSeconds(10)

/** Whether a request may travel on a connection that was used before. */
enum class ConnectionPolicy { REUSE_IDLE, NEW }

/**
 * How a request is sent. [responseTimeout] bounds the time until the answer's head arrives, and [readTimeout] the time
 * without any byte after that while the answer is read; without it nothing bounds that.
 */
data class SendOptions(
    val connectionPolicy: ConnectionPolicy = ConnectionPolicy.REUSE_IDLE,
    val responseTimeout: Duration = DEFAULT_RESPONSE_TIMEOUT,
    val readTimeout: Duration? = null,
)

/** Receives an answer in pieces, on a traffic thread. After [onComplete] or [onFailure] no more calls come. */
interface ResponseListener {
    /** The connection stands; bytes of the request may leave from now on. */
    fun onSending() = Unit

    /** The answer's status and header fields have arrived. */
    fun onHead(
        status: Int,
        headers: HeaderFields,
    )

    /** A piece of the answer's body has arrived. */
    fun onBodyChunk(bytes: ByteArray)

    /** The answer has arrived whole. */
    fun onComplete()

    /** No whole answer will arrive. */
    fun onFailure(failure: TransportFailure)
}

/** A request on its way. */
interface OutgoingExchange {
    /** Stops or resumes reading of the answer, to hold a fast sender back. */
    fun setReading(isReading: Boolean)

    /** Closes the connection; the listener hears nothing more. */
    fun close()
}

/** Sends HTTP requests. */
interface HttpClient {
    /** Sends [request] to [endpoint] and gives the answer to [listener] in pieces. */
    fun send(
        endpoint: Endpoint,
        request: HttpRequestMessage,
        options: SendOptions,
        listener: ResponseListener,
    ): OutgoingExchange

    /** Sends [request] and collects the whole answer, of [MAX_COLLECTED_BODY_BYTES] at the most, within [timeout]. */
    fun call(
        endpoint: Endpoint,
        request: HttpRequestMessage,
        timeout: Duration,
        connectionPolicy: ConnectionPolicy = ConnectionPolicy.REUSE_IDLE,
    ): CompletableFuture<Either<TransportFailure, HttpResponseMessage>>

    /** Closes the idle connections to [endpoint]: one of its connections went silent, and so may have these. */
    fun closeIdleConnections(endpoint: Endpoint)

    companion object {
        /** Greatest body that [call] collects, in bytes. */
        const val MAX_COLLECTED_BODY_BYTES = 16_777_216
    }
}
