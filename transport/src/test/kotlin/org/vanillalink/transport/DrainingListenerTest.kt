package org.vanillalink.transport

import org.vanillalink.model.Endpoint
import java.net.Socket
import java.util.concurrent.CountDownLatch
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals

/** Connections that a server hasn't accepted yet when it starts to drain. */
internal class DrainingListenerTest {
    private val loops = NettyEventLoops(1)
    private val testSubject =
        NettyHttpServer(loops, Endpoint("127.0.0.1", 0), ServerLimits()) { _, response ->
            response.respond(STATUS_UNAVAILABLE)
        }

    @AfterTest
    fun stop() {
        testSubject.close()
        loops.close()
    }

    // Guards against resetting a whole request on a new connection that a late event loop hasn't accepted when its
    // daemon stops (LOST around a planned stop, soak --seed 5).
    @Test
    fun `a request on a connection that was not yet accepted when draining began is answered`() {
        val isLate = CountDownLatch(1)
        loops.execute { isLate.await() }
        Socket(testSubject.endpoint.address, testSubject.endpoint.port).use { caller ->
            caller.getOutputStream().write("GET /order HTTP/1.1\r\nhost: desk.example\r\n\r\n".toByteArray())
            testSubject.drain()
            isLate.countDown()

            assertEquals("HTTP/1.1 503 Service Unavailable", caller.getInputStream().bufferedReader().readLine())
        }
    }

    private companion object {
        const val STATUS_UNAVAILABLE = 503
    }
}
