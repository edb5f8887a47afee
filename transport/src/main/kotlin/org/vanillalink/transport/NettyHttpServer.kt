/*
 * HTTP server on Netty's codec. Each connection handles one request at a time; pipelined requests wait in a bounded
 * queue. Malformed and oversized requests are refused with problem details, and their connection is closed.
 */
package org.vanillalink.transport

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.timeout.IdleStateHandler
import io.netty.util.concurrent.GlobalEventExecutor
import org.vanillalink.model.Endpoint
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** What a server does with its connections. */
internal enum class ServerPhase {
    /** Connections are kept open for further requests. */
    SERVING,

    /** Each connection is closed after its next response, which says so. */
    LEAVING,

    /** Each connection is closed as soon as it has no request, also if its response has not said so. */
    DRAINING,

    /** All connections are closed at once. */
    CLOSED,
}

/**
 * Listens on [bind] and passes each request to [handler]. [currentLimits] is read for each new connection, its limit
 * of bodies again at the head of each request, and its idle timeout again before a connection is closed for it.
 * [endListener] is told how connections end.
 */
class NettyHttpServer(
    private val loops: NettyEventLoops,
    private val bind: Endpoint,
    private val currentLimits: () -> ServerLimits,
    private val handler: HttpRequestHandler,
    private val endListener: CallerConnectionListener = CallerConnectionListener {},
) : HttpServer {
    /** Creates a server with fixed limits. */
    constructor(
        loops: NettyEventLoops,
        bind: Endpoint,
        limits: ServerLimits,
        handler: HttpRequestHandler,
    ) : this(loops, bind, { limits }, handler)

    private val connections = DefaultChannelGroup(GlobalEventExecutor.INSTANCE)
    private val inProgress = AtomicInteger()
    private val lingering = LingeringConnections(MAX_LINGERING_CONNECTIONS)

    @Volatile
    private var phase = ServerPhase.SERVING
    private val serverChannel: Channel = listen()

    override val endpoint: Endpoint
        get() = Endpoint(bind.address, (serverChannel.localAddress() as InetSocketAddress).port)

    override val requestsInProgress: Int get() = inProgress.get()

    override val openConnections: Int
        get() = connections.size + if (phase == ServerPhase.DRAINING && serverChannel.isOpen) 1 else 0

    override fun disableKeepAlive() {
        phase = ServerPhase.LEAVING
    }

    override fun drain() {
        phase = ServerPhase.DRAINING
        closeOnceAccepted(ACCEPT_TURNS)
        connections.forEach { channel -> channel.pipeline().get(ServerConnection::class.java)?.closeIfIdle() }
    }

    /**
     * The kernel resets connections that it has established and that weren't accepted before the listening socket
     * closes. An event loop that is late accepts them in its next turns.
     */
    private fun closeOnceAccepted(turns: Int) {
        val next = Runnable { if (turns > 1) closeOnceAccepted(turns - 1) else serverChannel.close() }
        serverChannel.eventLoop().schedule(next, ACCEPT_TURN_MILLISECONDS, TimeUnit.MILLISECONDS)
    }

    override fun close() {
        phase = ServerPhase.CLOSED
        serverChannel.close().syncUninterruptibly()
        connections.close()
    }

    private fun listen(): Channel = ServerBootstrap()
        .group(loops.group)
        .channel(NioServerSocketChannel::class.java)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.RECVBUF_ALLOCATOR, readUntilEmptyAllocator())
        .childHandler(ConnectionInitializer())
        .bind(bind.address, bind.port)
        .syncUninterruptibly()
        .channel()

    /**
     * Reads until nothing is left, so that the end of a connection is detected together with the bytes before it. By
     * default Netty stops after a read that does not fill its buffer, and detects the end in the next event loop run.
     */
    private fun readUntilEmptyAllocator() =
        AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false).maxMessagesPerRead(MAX_READS_PER_LOOP)

    private companion object {
        /** Netty's default; limits how long one connection delays the others on its event loop. */
        const val MAX_READS_PER_LOOP = 16

        /** Each turn of the event loop accepts up to 16 connections. */
        const val ACCEPT_TURNS = 4
        const val ACCEPT_TURN_MILLISECONDS = 5L

        /** A few percent of the connections that a server may have. */
        const val MAX_LINGERING_CONNECTIONS = 256
    }

    private inner class ConnectionInitializer : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            val limits = currentLimits()
            if (connections.size >= limits.maxConnections) {
                channel.close()
                endListener.onEnded(CallerConnectionEnd(CallerConnectionEndReason.TOO_MANY_CONNECTIONS))
                return
            }
            connections.add(channel)
            val input = CallerInput()
            val decoderConfig = HttpDecoderConfig().setMaxHeaderSize(limits.maxHeaderBytes)
            channel
                .pipeline()
                .addLast(BudgetedWrites(limits.memory))
                .addLast(IdleStateHandler(0, 0, limits.idleTimeout.toMillis(), TimeUnit.MILLISECONDS))
                .addLast(input)
                .addLast(HttpServerCodec(decoderConfig))
                .addLast(BoundedRequestAggregator(limits.maxBodyBytes, input) { currentLimits().maxBodyBytes })
                .addLast(createConnection(input))
            // [drain] may have run before this connection was added.
            if (phase == ServerPhase.DRAINING) channel.pipeline().get(ServerConnection::class.java)?.closeIfIdle()
        }

        private fun createConnection(input: CallerInput) = ServerConnection(
            handler,
            inProgress,
            { currentLimits().idleTimeout },
            input,
            endListener,
            lingering,
        ) { phase }
    }
}
