package org.vanillalink.transport

import io.netty.channel.Channel
import io.netty.channel.embedded.EmbeddedChannel
import kotlin.test.Test
import kotlin.test.assertEquals

/** A kept connection that ends between its choice for a request and the moment at which the request would leave. */
internal class StaleConnectionTest {
    private val failures = mutableListOf<TransportFailure>()
    private val listener =
        object : ResponseListener {
            override fun onHead(
                status: Int,
                headers: HeaderFields,
            ) = Unit

            override fun onBodyChunk(bytes: ByteArray) = Unit

            override fun onComplete() = Unit

            override fun onFailure(failure: TransportFailure) {
                failures += failure
            }
        }
    private val pool =
        object : ConnectionPool {
            override fun release(channel: Channel) = Unit

            override fun onUnresponsive() = Unit
        }
    private val testSubject = NettyExchange(HttpRequestMessage("POST", "/orders/"), SendOptions(), listener, pool)

    // Guards against requests that wait for an answer although they were never sent.
    @Test
    fun `a request goes to another connection when its own has ended before it could be sent`() {
        var newConnections = 0
        val channel = EmbeddedChannel(ClientConnection())
        channel.close()
        channel.runPendingTasks()

        testSubject.start(channel) { newConnections += 1 }
        channel.runPendingTasks()

        assertEquals(1, newConnections)
        assertEquals(emptyList(), failures)
    }
}
