/*
 * UDP transport for small messages between daemons. Messages may be lost; each replaces the one before.
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
import java.util.concurrent.ConcurrentHashMap

/** Receives datagrams on [bind] and passes their content to [onReceive] on an event loop thread. */
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

    /** The bound port; the one that the system has assigned where [bind] has port 0. */
    val port: Int get() = (channel.localAddress() as InetSocketAddress).port

    private val addresses = ConcurrentHashMap<Endpoint, InetSocketAddress>()

    /** Sends [content] to each of [targets], without a guarantee of delivery. */
    fun send(
        targets: Collection<Endpoint>,
        content: ByteArray,
    ) {
        if (targets.isEmpty()) return
        val receivers = targets.map { address(it) }
        // One task wakes the event loop once, and not for each datagram.
        channel.eventLoop().execute {
            receivers.forEach { channel.write(DatagramPacket(Unpooled.wrappedBuffer(content), it)) }
            channel.flush()
        }
    }

    private fun address(endpoint: Endpoint): InetSocketAddress {
        if (addresses.size > MAX_ADDRESSES) addresses.clear()
        return addresses.computeIfAbsent(endpoint) { InetSocketAddress(it.address, it.port) }
    }

    override fun close() {
        channel.close()
    }

    private companion object {
        /** The largest payload of UDP over IPv4. Netty's default receive buffer truncates datagrams at 2,048 bytes. */
        const val MAX_DATAGRAM_BYTES = 65_507

        /** Addresses of peers that have ended are kept until there are this many. */
        const val MAX_ADDRESSES = 2_000
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

        /** A failure, such as a datagram that a receiver has refused, must not close the socket. */
        @Suppress("OVERRIDE_DEPRECATION")
        override fun exceptionCaught(
            context: ChannelHandlerContext,
            cause: Throwable,
        ) = Unit
    }
}
