/*
 * A fake operators' port that sends scripted responses and records its requests.
 */
package org.vanillalink.tool

import org.vanillalink.model.Endpoint
import org.vanillalink.transport.HeaderFields
import org.vanillalink.transport.HttpRequestMessage
import org.vanillalink.transport.NettyEventLoops
import org.vanillalink.transport.NettyHttpServer
import org.vanillalink.transport.ResponseWriter
import org.vanillalink.transport.ServerLimits
import java.util.concurrent.CopyOnWriteArrayList

/** [script] returns the JSON response to a request, or null to close the connection without one. */
class ScriptedDaemon(
    private val script: (HttpRequestMessage) -> String?,
) : AutoCloseable {
    private val loops = NettyEventLoops(1)
    private val server =
        NettyHttpServer(
            loops,
            Endpoint("127.0.0.1", 0),
            ServerLimits(),
        ) { request, response -> handle(request, response) }

    /** The received requests in order of arrival. */
    val requests = CopyOnWriteArrayList<HttpRequestMessage>()

    val endpoint: Endpoint get() = server.endpoint

    override fun close() {
        server.close()
        loops.close()
    }

    private fun handle(
        request: HttpRequestMessage,
        response: ResponseWriter,
    ) {
        requests.add(request)
        val body = script(request)
        if (body == null) return response.abort()
        response.respond(200, HeaderFields.of("content-type" to "application/json"), body.encodeToByteArray())
    }
}

/** Returns an endpoint at the loopback address that was just closed, so connections to it fail. */
fun unreachableEndpoint(): Endpoint = ScriptedDaemon { null }.use { it.endpoint }
