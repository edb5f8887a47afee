/*
 * The two ends of a proxied connection, as raw channels.
 */
package org.vanillalink.soak.targets

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
import io.netty.channel.socket.nio.NioSocketChannel
import org.vanillalink.model.Endpoint

/** What comes over a connection; called on its event loop. */
internal interface PipeEvents {
    fun onRequestBytes(bytes: ByteArray)

    fun onAnswerBytes(bytes: ByteArray)

    fun onCallerClosed()

    fun onTargetClosed()
}

/** Passes bytes between [front], which a daemon has opened, and a connection to [target] of its own. */
internal class ProxyPipe(
    private val front: Channel,
    target: Endpoint,
    eventsOf: (ProxyPipe) -> PipeEvents,
) {
    private val events = eventsOf(this)
    private val waiting = mutableListOf<ByteArray>()
    private var back: Channel? = null

    init {
        front.pipeline().addLast(BytesHandler(events::onRequestBytes, events::onCallerClosed))
        Bootstrap()
            .group(front.eventLoop())
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(BytesHandler(events::onAnswerBytes, events::onTargetClosed))
            .connect(target.address, target.port)
            .addListener(
                ChannelFutureListener { if (it.isSuccess) onConnected(it.channel()) else events.onTargetClosed() },
            )
    }

    private fun onConnected(channel: Channel) {
        back = channel
        waiting.forEach { channel.writeAndFlush(Unpooled.wrappedBuffer(it)) }
        waiting.clear()
        if (!front.isActive) channel.close()
    }

    val isOpen: Boolean get() = front.isActive

    val isBacklogged: Boolean get() = !front.isWritable

    /** Runs [action] on the event loop after [delayMs]. */
    fun schedule(
        delayMs: Long,
        action: () -> Unit,
    ) {
        front.eventLoop().schedule(action, delayMs, java.util.concurrent.TimeUnit.MILLISECONDS)
    }

    fun toTarget(bytes: ByteArray) {
        back?.writeAndFlush(Unpooled.wrappedBuffer(bytes)) ?: waiting.add(bytes)
    }

    fun toCaller(bytes: ByteArray) {
        if (bytes.isNotEmpty()) front.writeAndFlush(Unpooled.wrappedBuffer(bytes))
    }

    /** Closes both connections; the caller's by a reset if [resets]. */
    fun close(resets: Boolean = false) {
        back?.close()
        if (resets) front.config().setOption(ChannelOption.SO_LINGER, 0)
        front.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE)
    }

    /** Closes the connection to the target only. */
    fun leaveTarget() {
        back?.close()
    }

    private class BytesHandler(
        private val onBytes: (ByteArray) -> Unit,
        private val onClosed: () -> Unit,
    ) : ChannelInboundHandlerAdapter() {
        override fun channelRead(
            context: ChannelHandlerContext,
            message: Any,
        ) {
            val buffer = message as ByteBuf
            val bytes = ByteArray(buffer.readableBytes())
            buffer.readBytes(bytes)
            buffer.release()
            onBytes(bytes)
        }

        override fun channelInactive(context: ChannelHandlerContext) = onClosed()

        @Deprecated("by Netty")
        override fun exceptionCaught(
            context: ChannelHandlerContext,
            cause: Throwable,
        ) {
            context.close()
        }
    }
}
