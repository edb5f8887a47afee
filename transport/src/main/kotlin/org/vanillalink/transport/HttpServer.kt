/*
 * The interfaces of the HTTP server.
 */
package org.vanillalink.transport

import org.vanillalink.model.Endpoint

/** Handles requests; called on a traffic thread, which it must not block. */
fun interface HttpRequestHandler {
    /** Answers [request] through [answer], now or later, from any thread. */
    fun handle(
        request: HttpRequestMessage,
        response: ResponseWriter,
    )

    /** The caller of [request] has left before it was handled, and it won't be. */
    fun onAbandoned(request: HttpRequestMessage) = Unit
}

/** Writes one answer. Calls after the answer has ended, or after the caller went away, do nothing. */
interface ResponseWriter {
    /** Whether more can be written without piling up; false while the caller reads slowly. */
    val isWritable: Boolean

    /** Begins an answer that is written in pieces. */
    fun start(
        status: Int,
        headers: HeaderFields,
    )

    /** Writes a piece of a started answer. */
    fun write(bytes: ByteArray)

    /** Ends a started answer as whole. */
    fun finish()

    /** Writes a whole answer at once. */
    fun respond(
        status: Int,
        headers: HeaderFields = HeaderFields(),
        body: ByteArray = ByteArray(0),
    )

    /** Closes the connection, so that the caller sees that the answer isn't whole. */
    fun abort()

    /** Calls [action] whenever the caller has caught up reading. */
    fun onWritable(action: () -> Unit)

    /** Calls [action] once if the caller goes away before the answer has ended. */
    fun onCallerDisconnected(action: () -> Unit)
}

/** Bounds on what a caller may send. Sizes are bytes. */
data class ServerLimits(
    val maxHeaderBytes: Int = 16_384,
    val maxBodyBytes: Int = 4_194_304,
    val maxConnections: Int = 10_000,
    val idleTimeoutSeconds: Int = 120,
)

/** A listening HTTP server. */
interface HttpServer : AutoCloseable {
    /** Where it listens; the port is the real one also where 0 was asked for. */
    val endpoint: Endpoint

    /** How many requests have no whole answer yet. */
    val requestsInProgress: Int

    /** Goes on serving, but each answer from now on ends its connection. */
    fun disableKeepAlive()

    /** Takes no new connections and closes each open one once its answer has ended. */
    fun drain()
}
