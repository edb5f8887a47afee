/*
 * A proxy before a target, which harms connections on the level of bytes.
 */
package org.vanillalink.soak.targets

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.util.concurrent.GlobalEventExecutor
import org.vanillalink.model.Endpoint
import org.vanillalink.soak.record.Recorder
import java.util.concurrent.atomic.AtomicInteger

/** Listens on [listen] and passes each connection on to [behind]. One event loop serves all connections of a target. */
internal class FaultProxy(
    private val group: EventLoopGroup,
    private val listen: Endpoint,
    private val behind: Endpoint,
    target: String,
    chooser: FaultChooser,
    recorder: Recorder,
) {
    private val numbers = AtomicInteger()
    private val connections = DefaultChannelGroup(GlobalEventExecutor.INSTANCE)
    private val settings = ProxySettings(target, chooser, recorder) { silentUntilMs }
    private var server: Channel? = null

    /** Until when nothing passes. */
    @Volatile
    var silentUntilMs = 0L

    fun start() {
        server =
            ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel::class.java)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                    object : ChannelInitializer<SocketChannel>() {
                        override fun initChannel(channel: SocketChannel) {
                            connections.add(channel)
                            val number = numbers.incrementAndGet()
                            ProxyPipe(channel, behind) { ProxyConnection(it, number, settings) }
                        }
                    },
                ).bind(listen.address, listen.port)
                .syncUninterruptibly()
                .channel()
    }

    /** Refuses connections from now on. */
    fun stopListening() {
        server?.close()?.syncUninterruptibly()
    }

    /** Refuses connections from now on and resets those that are open. */
    fun reset() {
        stopListening()
        connections.forEach { (it as SocketChannel).config().setOption(ChannelOption.SO_LINGER, 0) }
        connections.close()
    }
}
