/*
 * Interfaces of the HTTP server.
 */
package org.vanillalink.transport

import org.vanillalink.model.Endpoint
import org.vanillalink.model.Refusal
import org.vanillalink.model.RefusalOutcome
import org.vanillalink.model.RefusalReason
import java.time.Duration

/** Handles requests. Called on an event loop thread, which it must not block. */
fun interface HttpRequestHandler {
    /** Responds to [request] through [response], at once or later, from any thread. */
    fun handle(
        request: HttpRequestMessage,
        response: ResponseWriter,
    )

    /**
     * Responds to [request] that it is not run: it was received behind one whose response has said that the connection
     * is closed.
     */
    fun refuse(
        request: HttpRequestMessage,
        response: ResponseWriter,
    ) = response.refuse(Refusal(RefusalReason.NOT_READY, RefusalOutcome.NOT_RUN, "the connection is being closed"))

    /** The caller disconnected before [request] was handled; it is dropped without a call of [handle]. */
    fun onAbandoned(request: HttpRequestMessage) = Unit

    /** [handle] has thrown [failure] for [request], whose outcome is unknown; the caller is told so. */
    fun onFailure(
        request: HttpRequestMessage,
        failure: Exception,
    ) = Unit
}

/** Writes one response. Calls after the response has ended or the caller has disconnected have no effect. */
interface ResponseWriter {
    /** Whether more can be written without exceeding the write buffer; false while the caller reads slowly. */
    val isWritable: Boolean

    /** Names the request by [requestId] to the [CallerConnectionListener], should this response not be completed. */
    fun identify(requestId: String) = Unit

    /** Starts a chunked response. */
    fun start(
        status: Int,
        headers: HeaderFields,
    )

    /** Writes a chunk of a started response. */
    fun write(bytes: ByteArray)

    /** Completes a started response. */
    fun finish()

    /** Writes a complete response at once. */
    fun respond(
        status: Int,
        headers: HeaderFields = HeaderFields(),
        body: ByteArray = ByteArray(0),
    )

    /** Closes the connection, so that the caller detects an incomplete response. */
    fun abort()

    /** Calls [action] each time that the writer becomes writable again. */
    fun onWritable(action: () -> Unit)

    /** Calls [action] once if the caller disconnects before the response has ended. */
    fun onCallerDisconnected(action: () -> Unit)
}

/**
 * Limits for requests and connections of callers. The idle timeout also applies to connections that are open, and
 * [memory] to what all callers together have not read yet of their responses.
 */
data class ServerLimits(
    val maxHeaderBytes: Int = 16_384,
    val maxBodyBytes: Int = 4_194_304,
    val maxConnections: Int = 10_000,
    val idleTimeout: Duration = Duration.ofMinutes(2),
    val memory: MemoryBudget = MemoryBudget.unlimited(),
)

/** An HTTP server, which listens until it is closed. */
interface HttpServer : AutoCloseable {
    /** The bound address and port; the port that the system has assigned where 0 was requested. */
    val endpoint: Endpoint

    /** The number of requests that have been received completely and have no complete response yet. */
    val requestsInProgress: Int

    /**
     * The number of connections that have not been closed in both directions. While the server drains, one more until
     * it has accepted those that were established before.
     */
    val openConnections: Int

    /** Continues to serve, but closes each connection after its next response. */
    fun disableKeepAlive()

    /**
     * Accepts no new connections and closes each open one as soon as it has no request. Pipelined requests are still
     * passed to the handler, and the rest of a request has a while to come. A connection without requests is closed
     * at the latest a few seconds after its last response, also if its caller does not close it.
     */
    fun drain()
}
