package org.vanillalink.transport

import io.netty.channel.Channel
import io.netty.channel.embedded.EmbeddedChannel
import kotlin.test.Test
import kotlin.test.assertEquals

/** An idle connection that is closed after it was taken for a request and before the request is sent. */
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
    private val loop = EmbeddedChannel().eventLoop()
    private val testSubject = NettyExchange(HttpRequestMessage("POST", "/orders/"), SendOptions(), listener, pool, loop)

    // Guards against requests that wait for a response although they were never sent.
    @Test
    fun `a request whose connection is closed before it is sent is sent on a new connection`() {
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
