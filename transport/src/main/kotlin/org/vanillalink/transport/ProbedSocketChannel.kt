/*
 * A connection that can say what its socket holds before a request is sent on it.
 */
package org.vanillalink.transport

import arrow.core.Either
import io.netty.channel.socket.nio.NioSocketChannel
import java.nio.ByteBuffer

internal class ProbedSocketChannel : NioSocketChannel() {
    /**
     * Why no request can be sent: the socket holds bytes, or its other end has closed it; null if neither is so. To be
     * called on the event loop. What it reads is lost, so the connection has to be closed unless it returns null.
     */
    fun probe(): ConnectionEnd? {
        val count = Either.catch { javaChannel().read(ByteBuffer.allocate(1)) }.getOrNull() ?: END_OF_STREAM
        return when {
            count > 0 -> ConnectionEnd.UNSOLICITED_BYTES
            count == END_OF_STREAM -> ConnectionEnd.CLOSED_BY_SERVER
            else -> null
        }
    }

    private companion object {
        const val END_OF_STREAM = -1
    }
}
