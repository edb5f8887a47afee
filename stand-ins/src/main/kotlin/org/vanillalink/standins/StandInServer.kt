/*
 * Helpers shared by all stand-ins: a server that runs until the process ends, and JSON responses.
 */
package org.vanillalink.standins

import org.vanillalink.model.Endpoint
import org.vanillalink.transport.HeaderFields
import org.vanillalink.transport.HttpRequestHandler
import org.vanillalink.transport.Json
import org.vanillalink.transport.NettyEventLoops
import org.vanillalink.transport.NettyHttpServer
import org.vanillalink.transport.ResponseWriter
import org.vanillalink.transport.ServerLimits
import java.util.concurrent.CountDownLatch

internal const val OK = 200
internal const val NOT_FOUND = 404
internal const val BAD_REQUEST = 400

internal fun ResponseWriter.sendJson(
    value: Any,
    status: Int = OK,
    headers: HeaderFields = HeaderFields(),
) = respond(status, headers.with("content-type", "application/json"), Json.write(value))

internal fun serveUntilKilled(
    loops: NettyEventLoops,
    endpoint: Endpoint,
    handler: HttpRequestHandler,
) {
    NettyHttpServer(loops, endpoint, ServerLimits(), handler)
    CountDownLatch(1).await()
}
