package org.vanillalink.transport

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpServerCodec
import java.time.Duration
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** What the end of a caller's connection is reported as. */
internal class CallerConnectionEndTest {
    private val responses = ArrayDeque<ResponseWriter>()
    private val ends = ArrayList<CallerConnectionEnd>()
    private var phase = ServerPhase.SERVING
    private val input = CallerInput()
    private val connection =
        ServerConnection(
            { _, response -> responses.addLast(response) },
            AtomicInteger(),
            { Duration.ofMinutes(1) },
            input,
            ends::add,
        ) { phase }
    private val channel =
        EmbeddedChannel(input, HttpServerCodec(), BoundedRequestAggregator(MAX_BODY_BYTES, input), connection)

    // Guards against callers' connections that end with a request in progress and no line that says why.
    @Test
    fun `a caller that leaves is reported with what it had asked for`() {
        receive("GET /one HTTP/1.1\r\n\r\nGET /two HTTP/1.1\r\n\r\n")
        receive("GET /thr")
        channel.close()
        channel.runPendingTasks()

        assertEquals(listOf(CallerConnectionEnd(CallerConnectionEndReason.CALLER_CLOSED, true, 1, true)), ends)
    }

    @Test
    fun `a connection whose requests are answered ends cleanly`() {
        receive("GET /one HTTP/1.1\r\nConnection: close\r\n\r\n")
        responses.last().respond(STATUS_OK)
        channel.runPendingTasks()

        assertEquals(listOf(CallerConnectionEnd(CallerConnectionEndReason.RESPONSE_ENDED)), ends)
        assertTrue(ends.single().isClean)
    }

    @Test
    fun `a response that is broken off is reported as incomplete`() {
        receive("GET /one HTTP/1.1\r\n\r\n")
        responses.last().start(STATUS_OK, HeaderFields())
        responses.last().abort()
        channel.runPendingTasks()

        val expected = CallerConnectionEnd(CallerConnectionEndReason.RESPONSE_ABORTED, isResponseIncomplete = true)
        assertEquals(expected, ends.single())
        assertFalse(ends.single().isClean)
    }

    // Guards against the end of a caller's connection that can't be joined with the lines of its request.
    @Test
    fun `a response that is not completed is reported with the id of its request`() {
        receive("GET /one HTTP/1.1\r\n\r\nGET /two HTTP/1.1\r\n\r\nGET /three HTTP/1.1\r\n\r\n")
        responses.last().identify("one")
        responses.last().respond(STATUS_OK)
        channel.runPendingTasks()
        responses.last().identify("two")
        responses.last().start(STATUS_OK, HeaderFields())
        channel.close()
        channel.runPendingTasks()

        val expected =
            CallerConnectionEnd(CallerConnectionEndReason.CALLER_CLOSED, true, 1, incompleteRequestId = "two")
        assertEquals(listOf(expected), ends)
    }

    @Test
    fun `a connection whose responses are complete is reported without the id of a request`() {
        receive("GET /one HTTP/1.1\r\n\r\n")
        responses.last().identify("one")
        responses.last().respond(STATUS_OK)
        channel.close()
        channel.runPendingTasks()

        assertEquals(listOf(CallerConnectionEnd(CallerConnectionEndReason.CALLER_CLOSED)), ends)
    }

    @Test
    fun `a body whose rest is missing is part of a request`() {
        receive("POST /one HTTP/1.1\r\nContent-Length: 4\r\n\r\nab")
        phase = ServerPhase.CLOSED
        channel.close()
        channel.runPendingTasks()

        val expected = CallerConnectionEnd(CallerConnectionEndReason.SERVER_CLOSED, isRequestIncomplete = true)
        assertEquals(expected, ends.single())
    }

    @Test
    fun `a request that can't be read is reported as invalid`() {
        receive("no request\r\n\r\n")
        channel.runPendingTasks()

        assertEquals(CallerConnectionEnd(CallerConnectionEndReason.REQUEST_INVALID), ends.single())
    }

    private fun receive(text: String) {
        channel.writeInbound(Unpooled.wrappedBuffer(text.toByteArray()))
        channel.runPendingTasks()
    }

    private companion object {
        const val STATUS_OK = 200
        const val MAX_BODY_BYTES = 1_000
    }
}
