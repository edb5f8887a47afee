/*
 * Fakes for tests of calls: an HTTP client whose responses the test writes, and a response that records what it gets.
 */
package org.vanillalink.gateway.traffic

import org.vanillalink.gateway.ports.CallProtocol
import org.vanillalink.gateway.ports.ForwardingMetadata
import org.vanillalink.gateway.ports.RequestMetadata
import org.vanillalink.gateway.ports.ResponseMetadata
import org.vanillalink.model.Endpoint
import org.vanillalink.transport.ConnectionPolicy
import org.vanillalink.transport.HeaderFields
import org.vanillalink.transport.HttpClient
import org.vanillalink.transport.HttpRequestMessage
import org.vanillalink.transport.OutgoingExchange
import org.vanillalink.transport.ResponseListener
import org.vanillalink.transport.ResponseWriter
import org.vanillalink.transport.SendOptions
import java.time.Duration

/** The id in a response for one that carries none. */
internal const val NO_ID = "none"

internal class FakeHttpClient : HttpClient {
    val listeners = ArrayList<ResponseListener>()

    /** Where the requests were sent, in order. */
    val endpoints = ArrayList<Endpoint>()

    /** Whether the requests are sent on connections that earlier ones have used. */
    var isOnKeptConnection = false

    /** The exchanges that were closed, by their order. */
    val closed = ArrayList<Int>()

    /** The exchanges whose responses are not read now. */
    val paused = HashSet<Int>()
    val isClosed: Boolean get() = closed.isNotEmpty()
    val last: ResponseListener get() = listeners.last()

    override fun send(
        endpoint: Endpoint,
        request: HttpRequestMessage,
        options: SendOptions,
        listener: ResponseListener,
    ): OutgoingExchange {
        val index = listeners.size
        listeners.add(listener)
        endpoints.add(endpoint)
        return object : OutgoingExchange {
            override val isOnKeptConnection = this@FakeHttpClient.isOnKeptConnection

            override fun setReading(isReading: Boolean) {
                if (isReading) paused.remove(index) else paused.add(index)
            }

            override fun close() {
                closed.add(index)
            }
        }
    }

    override fun call(
        endpoint: Endpoint,
        request: HttpRequestMessage,
        timeout: Duration,
        connectionPolicy: ConnectionPolicy,
    ) = error("not used")

    override fun closeIdleConnections(endpoint: Endpoint) = error("not used")
}

internal class RecordingResponse : ResponseWriter {
    var status = 0
    var headers = HeaderFields()
    var body = ""
    var isFinished = false
    var isAborted = false

    /** The id of the request, for the end of the caller's connection. */
    var requestId: String? = null

    /** Called by the test when the caller disconnects. */
    var disconnect: () -> Unit = {}
    override val isWritable = true

    override fun identify(requestId: String) {
        this.requestId = requestId
    }

    override fun start(
        status: Int,
        headers: HeaderFields,
    ) {
        this.status = status
    }

    override fun write(bytes: ByteArray) {
        body += bytes.decodeToString()
    }

    override fun finish() {
        isFinished = true
    }

    override fun respond(
        status: Int,
        headers: HeaderFields,
        body: ByteArray,
    ) {
        this.status = status
        this.headers = headers
        this.body += body.decodeToString()
    }

    override fun abort() {
        isAborted = true
    }

    override fun onWritable(action: () -> Unit) = Unit

    override fun onCallerDisconnected(action: () -> Unit) {
        disconnect = action
    }
}

internal object FakeCallProtocol : CallProtocol {
    override fun readRequest(request: HttpRequestMessage) = RequestMetadata("id", "h", 8_000, null, null, null, 0)

    override fun buildForwardedRequest(
        request: HttpRequestMessage,
        metadata: ForwardingMetadata,
    ) = request

    override fun readResponse(
        status: Int,
        headers: HeaderFields,
    ) = ResponseMetadata(
        headers["request-id"].let { if (it == NO_ID) null else it ?: "id" },
        isSigned = true,
        isNotRun = headers["not-executed"] != null,
        null,
        false,
        false,
        null,
    )

    override fun promisesNotRun(status: Int) = status in setOf(408, 421, 429, 503)

    override fun responseHeaders(headers: HeaderFields) = headers
}
