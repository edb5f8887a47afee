/*
 * Small messages between daemons that may be lost: each one replaces the one before.
 */
package org.vanillalink.transport

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOption
import io.netty.channel.FixedRecvByteBufAllocator
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import org.vanillalink.model.Endpoint
import java.net.InetSocketAddress

/** Receives datagrams on [bind] and gives their content to [onReceive] on a traffic thread. */
class UdpSocket(
    loops: NettyEventLoops,
    bind: Endpoint,
    private val onReceive: (ByteArray) -> Unit,
) : AutoCloseable {
    private val channel: Channel =
        Bootstrap()
            .group(loops.group)
            .channel(NioDatagramChannel::class.java)
            .option(ChannelOption.RECVBUF_ALLOCATOR, FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
            .handler(Receiver())
            .bind(bind.address, bind.port)
            .syncUninterruptibly()
            .channel()

    /** Where it receives; the port is the real one also where 0 was asked for. */
    val port: Int get() = (channel.localAddress() as InetSocketAddress).port

    /** Sends [content] to [target]; it may be lost on the way. */
    fun send(
        target: Endpoint,
        content: ByteArray,
    ) {
        val address = InetSocketAddress(target.address, target.port)
        channel.writeAndFlush(DatagramPacket(Unpooled.wrappedBuffer(content), address))
    }

    override fun close() {
        channel.close()
    }

    private companion object {
        /** Bytes; the greatest payload that UDP over IPv4 carries. Netty's own default cuts at 2,048. */
        const val MAX_DATAGRAM_BYTES = 65_507
    }

    private inner class Receiver : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(
            context: ChannelHandlerContext,
            packet: DatagramPacket,
        ) {
            val content = ByteArray(packet.content().readableBytes())
            packet.content().readBytes(content)
            onReceive(content)
        }

        /** A datagram that was refused somewhere must not end the port. */
        @Suppress("OVERRIDE_DEPRECATION")
        override fun exceptionCaught(
            context: ChannelHandlerContext,
            cause: Throwable,
        ) = Unit
    }
}
