package org.vanillalink.transport

import org.vanillalink.model.Endpoint
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** A server with a delayed event loop: requests and the ends of their connections are pending together. */
internal class DisconnectedCallerTest {
    private val loops = NettyEventLoops(1)
    private val handled = CopyOnWriteArrayList<String>()
    private val testSubject =
        NettyHttpServer(loops, Endpoint("127.0.0.1", 0), ServerLimits()) { request, response ->
            handled += request.target
            response.respond(STATUS_OK)
        }

    @AfterTest
    fun stop() {
        testSubject.close()
        loops.close()
    }

    // Guards against work for callers that disconnected before a delayed daemon read their requests.
    @Test
    fun `a request whose caller disconnected before it was read is not handled`() {
        val blocked = blockEventLoop()
        connect().use { it.send("/left") }
        val connected = connect().apply { send("/stays") }
        blocked.countDown()

        assertEquals("HTTP/1.1 200 OK", connected.readStatus())
        assertEquals(listOf("/stays"), handled)
    }

    // The same for a later request on a reused connection, which is already open when the event loop is delayed.
    @Test
    fun `a request on a reused connection whose caller disconnected before it was read is not handled`() {
        val reused = connect().apply { send("/first") }
        assertEquals("HTTP/1.1 200 OK", reused.readStatus())
        val blocked = blockEventLoop()
        reused.use { it.send("/left") }
        val connected = connect().apply { send("/stays") }
        blocked.countDown()

        assertEquals("HTTP/1.1 200 OK", connected.readStatus())
        assertEquals(listOf("/first", "/stays"), handled)
    }

    @Test
    fun `pipelined requests on one connection are handled in order`() {
        val blocked = blockEventLoop()
        val caller = connect().apply { send("/one", "/two") }
        blocked.countDown()

        assertEquals("HTTP/1.1 200 OK", caller.readStatus())
        assertEquals("HTTP/1.1 200 OK", caller.readStatus())
        assertEquals(listOf("/one", "/two"), handled)
    }

    /** Blocks the server's event loop until the returned latch is counted down. */
    private fun blockEventLoop(): CountDownLatch {
        val started = CountDownLatch(1)
        val released = CountDownLatch(1)
        loops.execute {
            started.countDown()
            released.await()
        }
        assertTrue(started.await(TIMEOUT_SECONDS, TimeUnit.SECONDS))
        return released
    }

    private fun connect() = Socket("127.0.0.1", testSubject.endpoint.port).apply {
        soTimeout = TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS).toInt()
    }

    private fun Socket.send(vararg targets: String) {
        val text = targets.joinToString("") { "GET $it HTTP/1.1\r\nHost: grit.example\r\n\r\n" }
        getOutputStream().write(text.toByteArray())
    }

    /** Reads one response without a body and returns its status line. */
    private fun Socket.readStatus(): String {
        val lines = generateSequence { readLine() }.takeWhile { it.isNotEmpty() }.toList()
        return lines.first()
    }

    private fun Socket.readLine(): String {
        val line = StringBuilder()
        while (true) {
            val next = getInputStream().read()
            if (next < 0 || next == '\n'.code) return line.toString().trimEnd('\r')
            line.append(next.toChar())
        }
    }

    private companion object {
        const val STATUS_OK = 200
        const val TIMEOUT_SECONDS = 20L
    }
}
