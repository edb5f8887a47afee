package org.vanillalink.transport

import org.vanillalink.model.Endpoint
import java.net.ServerSocket
import java.net.Socket
import java.time.Duration
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** A server that sends a response twice on a persistent connection. */
internal class UnsolicitedResponseTest {
    private val loops = NettyEventLoops(1)
    private val testSubject = NettyHttpClient(loops)
    private val server = ServerSocket(0)
    private val firstConnectionClosed = CountDownLatch(1)

    @AfterTest
    fun stop() {
        server.close()
        loops.close()
    }

    @Test
    fun `a response that arrives on an idle connection is not taken for that of the next request`() {
        thread(isDaemon = true) {
            server.accept().use { first ->
                first.sendResponse("one")
                first.getOutputStream().write(responseBytes("one"))
                // The end of the stream shows that the client has closed the connection.
                while (first.getInputStream().read() >= 0) continue
                firstConnectionClosed.countDown()
            }
        }
        assertEquals("one", call("/one"))
        assertTrue(firstConnectionClosed.await(TIMEOUT.toSeconds(), TimeUnit.SECONDS), "the connection was kept")

        thread(isDaemon = true) { server.accept().sendResponse("two") }
        assertEquals("two", call("/two"))
    }

    private fun call(target: String): String? = testSubject
        .call(Endpoint("127.0.0.1", server.localPort), HttpRequestMessage("GET", target), TIMEOUT)
        .get(TIMEOUT.toSeconds() * 2, TimeUnit.SECONDS)
        .getOrNull()
        ?.body
        ?.decodeToString()

    private fun Socket.sendResponse(body: String) {
        val reader = getInputStream().bufferedReader()
        generateSequence { reader.readLine() }.takeWhile { it.isNotEmpty() }.count()
        getOutputStream().write(responseBytes(body))
    }

    private fun responseBytes(body: String) = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n$body".toByteArray()

    private companion object {
        val TIMEOUT: Duration = Duration.ofSeconds(20)
    }
}
