package org.vanillalink.transport

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.timeout.IdleStateEvent
import java.time.Duration
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Connections that must not end while a request of their caller has no answer. */
internal class ServerConnectionTest {
    private val requestsInProgress = AtomicInteger()
    private val responses = ArrayList<ResponseWriter>()
    private val failures = ArrayList<Exception>()
    private var idleTimeout = Duration.ZERO
    private val handler =
        object : HttpRequestHandler {
            override fun handle(
                request: HttpRequestMessage,
                response: ResponseWriter,
            ) {
                check(request.target != FAULTY_TARGET) { "expected another target than $FAULTY_TARGET" }
                responses += response
            }

            override fun onFailure(
                request: HttpRequestMessage,
                failure: Exception,
            ) {
                failures += failure
            }
        }
    private val channel =
        EmbeddedChannel(
            ServerConnection(handler, requestsInProgress, { idleTimeout }) { ServerPhase.SERVING },
        )

    // Guards against closing kept connections by an idle limit that the configuration has raised since.
    @Test
    fun `an idle connection is closed by the current idle timeout`() {
        idleTimeout = Duration.ofMinutes(1)
        channel.pipeline().fireUserEventTriggered(IdleStateEvent.ALL_IDLE_STATE_EVENT)
        assertTrue(channel.isOpen)

        idleTimeout = Duration.ZERO
        channel.pipeline().fireUserEventTriggered(IdleStateEvent.ALL_IDLE_STATE_EVENT)
        assertFalse(channel.isOpen)
    }

    @Test
    fun `a connection with a request is not idle`() {
        receive("/order")
        channel.pipeline().fireUserEventTriggered(IdleStateEvent.ALL_IDLE_STATE_EVENT)

        assertTrue(channel.isOpen)
    }

    // Guards against closing a connection with answers under way because its caller sends many requests ahead.
    @Test
    fun `a caller that sends many requests ahead gets all answers`() {
        repeat(MANY) { receive("/order") }
        assertFalse(channel.config().isAutoRead)
        repeat(MANY) { index ->
            responses[index].respond(STATUS_OK)
            channel.runPendingTasks()
        }

        assertTrue(channel.isOpen)
        assertTrue(channel.config().isAutoRead)
        assertEquals(0, requestsInProgress.get())
    }

    // Guards against a request that stays without an answer, and in progress for ever, after a fault of the daemon.
    @Test
    fun `a request that the handler fails at is answered`() {
        receive(FAULTY_TARGET)

        assertEquals(502, channel.readOutbound<FullHttpResponse>()?.status()?.code())
        assertEquals(1, failures.size)
        assertEquals(0, requestsInProgress.get())
    }

    private fun receive(target: String) {
        channel.writeInbound(
            DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, target, Unpooled.EMPTY_BUFFER),
        )
        channel.runPendingTasks()
    }

    private companion object {
        const val MANY = 40
        const val STATUS_OK = 200
        const val FAULTY_TARGET = "/faulty"
    }
}
