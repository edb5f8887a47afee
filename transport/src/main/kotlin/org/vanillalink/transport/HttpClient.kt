/*
 * Interfaces of the HTTP client.
 */
package org.vanillalink.transport

import arrow.core.Either
import org.vanillalink.model.Endpoint
import java.time.Duration
import java.util.concurrent.CompletableFuture

private val DEFAULT_RESPONSE_TIMEOUT = Duration.ofSeconds(10)

/** Whether a request may be sent on an idle connection that has been used before. */
enum class ConnectionPolicy { REUSE_IDLE, NEW }

/**
 * How a request is sent. [responseTimeout] limits the time until the response head arrives, and [readTimeout] the time
 * without any byte after that, not counted while reading is paused; null means no limit.
 */
data class SendOptions(
    val connectionPolicy: ConnectionPolicy = ConnectionPolicy.REUSE_IDLE,
    val responseTimeout: Duration = DEFAULT_RESPONSE_TIMEOUT,
    val readTimeout: Duration? = null,
)

/** Receives a response in chunks, on an event loop thread. No calls follow [onComplete] or [onFailure]. */
interface ResponseListener {
    /** The connection is established; from now on bytes of the request may be sent. */
    fun onSending() = Unit

    /** The status and the header fields have arrived. */
    fun onHead(
        status: Int,
        headers: HeaderFields,
    )

    /** A chunk of the body has arrived. */
    fun onBodyChunk(bytes: ByteArray)

    /** The response has arrived completely. */
    fun onComplete()

    /** The request has failed; no complete response will arrive. */
    fun onFailure(failure: TransportFailure)
}

/** A request in progress. */
interface OutgoingExchange {
    /** Whether an earlier request was sent on its connection, of which a late response may still arrive. */
    val isOnKeptConnection: Boolean get() = false

    /** Pauses or resumes reading the response, as back-pressure on the server. */
    fun setReading(isReading: Boolean)

    /** Closes the connection; the listener gets no further calls. */
    fun close()
}

/** Sends HTTP requests over pooled or new connections. */
interface HttpClient {
    /** Sends [request] to [endpoint] and passes the response to [listener] in chunks. */
    fun send(
        endpoint: Endpoint,
        request: HttpRequestMessage,
        options: SendOptions,
        listener: ResponseListener,
    ): OutgoingExchange

    /**
     * Sends [request] and collects the complete response, with a body of at most [MAX_COLLECTED_BODY_BYTES]. Fails if
     * it is not complete within [timeout].
     */
    fun call(
        endpoint: Endpoint,
        request: HttpRequestMessage,
        timeout: Duration,
        connectionPolicy: ConnectionPolicy = ConnectionPolicy.REUSE_IDLE,
    ): CompletableFuture<Either<TransportFailure, HttpResponseMessage>>

    /** Closes the idle connections to [endpoint]. If one connection is unresponsive, the idle ones may be, too. */
    fun closeIdleConnections(endpoint: Endpoint)

    companion object {
        /** The largest response body that [call] collects. */
        const val MAX_COLLECTED_BODY_BYTES = 16_777_216
    }
}
