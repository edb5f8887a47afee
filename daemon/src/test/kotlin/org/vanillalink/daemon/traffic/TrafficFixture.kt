/*
 * A caller, the daemon's callers' port with the real router, and scripted targets, all on loopback.
 */
package org.vanillalink.daemon.traffic

import org.vanillalink.configuration.ConfigurationDocument
import org.vanillalink.configuration.ServiceKind
import org.vanillalink.configuration.ServiceSettings
import org.vanillalink.configuration.WorkspaceSettings
import org.vanillalink.model.BootId
import org.vanillalink.model.Endpoint
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.HostId
import org.vanillalink.model.ServiceName
import org.vanillalink.model.WorkspaceId
import org.vanillalink.routing.RouterEvent
import org.vanillalink.routing.TargetCandidate
import org.vanillalink.targets.TargetProtocol
import org.vanillalink.transport.HeaderFields
import org.vanillalink.transport.HttpRequestHandler
import org.vanillalink.transport.HttpRequestMessage
import org.vanillalink.transport.NettyEventLoops
import org.vanillalink.transport.NettyHttpClient
import org.vanillalink.transport.NettyHttpServer
import org.vanillalink.transport.ResponseListener
import org.vanillalink.transport.ResponseWriter
import org.vanillalink.transport.SendOptions
import org.vanillalink.transport.ServerLimits
import org.vanillalink.transport.TransportFailure
import java.time.Clock
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit

/** What a caller got; [whole] is false where the connection ended first. */
internal data class SeenAnswer(
    val status: Int,
    val headers: HeaderFields,
    val text: String,
    val whole: Boolean,
)

/** A request at a scripted target. */
internal class TargetExchange(
    val request: HttpRequestMessage,
    val answer: ResponseWriter,
) {
    val attempt = request.headers[TargetProtocol.ATTEMPT_HEADER].orEmpty()
    val resumeFrom = request.headers[TargetProtocol.RESUME_HEADER]?.toInt() ?: 0

    fun head(echoed: String = attempt) = answer.start(
        OK,
        HeaderFields.of(TargetProtocol.ATTEMPT_HEADER to echoed, "content-type" to "text/event-stream"),
    )

    fun token(
        index: Int,
        echoed: String = attempt,
        text: String = "t$index ",
    ) = event("""{"id":"$echoed","token_index":$index,"choices":[{"delta":{"content":"$text"}}]}""")

    fun event(data: String) = answer.write("data: $data\n\n".encodeToByteArray())

    /** Gives the tokens up to [last] and the end marker. */
    fun complete(last: Int) {
        head()
        (resumeFrom..last).forEach { token(it) }
        event(TargetProtocol.STREAM_END)
        answer.finish()
    }

    private companion object {
        const val OK = 200
    }
}

internal class TrafficFixture : AutoCloseable {
    private val loops = NettyEventLoops(2)
    private val client = NettyHttpClient(loops)
    private val targets = CopyOnWriteArrayList<NettyHttpServer>()
    private val calls = RoutedCalls()
    private val handler = CallerHandler(client, calls, Clock.systemUTC())
    private val server = NettyHttpServer(loops, ANY_PORT, ServerLimits(), handler)

    val endpoint: Endpoint get() = server.endpoint

    init {
        handler.rules = CallerRules(DOCUMENT, WorkspaceDirectory(DOCUMENT, loopbackOnly = true))
    }

    /** Adds targets of [service]; the router prefers the first, whose capacity is the greatest. */
    fun targets(
        service: ServiceName,
        vararg scripts: (TargetExchange) -> Unit,
    ) {
        val candidates =
            scripts.mapIndexed { number, script ->
                val host = HostId("$service-$number")
                calls.endpoints[host] = listen { request, answer -> script(TargetExchange(request, answer)) }
                val capacity = if (number == 0) LARGE else 2
                TargetCandidate(host, BootId("boot"), service, FailureDomainId("here"), capacity)
            }
        calls.happened(RouterEvent.CandidatesChanged(service, candidates))
    }

    fun complete(
        content: String = "Route for Monday?",
        streamed: Boolean = true,
    ): SeenAnswer {
        val body =
            """{"model":"$MODEL","stream":$streamed,"messages":[{"role":"user","content":"$content"}]}"""
        return call(HttpRequestMessage("POST", CallerProtocol.COMPLETIONS_PATH, CALLER, body.encodeToByteArray()))
    }

    fun get(path: String): SeenAnswer = call(HttpRequestMessage("GET", "/services/$PLAIN$path", CALLER))

    fun post(path: String): SeenAnswer = call(HttpRequestMessage("POST", "/services/$PLAIN$path", CALLER))

    /** Fails the attempts that run, as the control does for a silent path. */
    fun endAttempts() = calls.endAttempts()

    override fun close() {
        server.close()
        targets.forEach { it.close() }
        calls.close()
        loops.close()
    }

    private fun call(request: HttpRequestMessage): SeenAnswer {
        val listener = CollectingListener()
        client.send(
            endpoint,
            request,
            SendOptions(responseTimeout = java.time.Duration.ofSeconds(BOUND_SECONDS)),
            listener,
        )
        return listener.answer.get(BOUND_SECONDS, TimeUnit.SECONDS)
    }

    private fun listen(handler: HttpRequestHandler): Endpoint {
        val target = NettyHttpServer(loops, ANY_PORT, ServerLimits(), handler)
        targets.add(target)
        return target.endpoint
    }

    private class CollectingListener : ResponseListener {
        val answer = CompletableFuture<SeenAnswer>()
        private var seen = SeenAnswer(0, HeaderFields(), "", whole = false)

        override fun onHead(
            status: Int,
            headers: HeaderFields,
        ) {
            seen = seen.copy(status = status, headers = headers)
        }

        override fun onBodyChunk(bytes: ByteArray) {
            seen = seen.copy(text = seen.text + bytes.decodeToString())
        }

        override fun onComplete() {
            answer.complete(seen.copy(whole = true))
        }

        override fun onFailure(failure: TransportFailure) {
            answer.complete(seen)
        }
    }

    companion object {
        const val BOUND_SECONDS = 30L
        const val LARGE = 64
        val MODEL = ServiceName("brief-writer")
        val PLAIN = ServiceName("dispatch-desk")
        val CALLER = HeaderFields.of(CallerProtocol.WORKSPACE_HEADER to "gritworks")
        private val ANY_PORT = Endpoint("127.0.0.1", 0)
        private val DOCUMENT =
            ConfigurationDocument(
                services =
                    mapOf(
                        MODEL to ServiceSettings(ServiceKind.MODEL),
                        PLAIN to ServiceSettings(ServiceKind.PLAIN),
                    ),
                workspaces = mapOf(WorkspaceId("gritworks") to WorkspaceSettings()),
            )
    }
}
