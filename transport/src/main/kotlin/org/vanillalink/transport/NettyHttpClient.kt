/*
 * HTTP client on Netty's codec, with a small pool of idle connections for each endpoint.
 */
package org.vanillalink.transport

import arrow.core.Either
import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.HttpRequestEncoder
import org.vanillalink.model.Endpoint
import java.nio.channels.ClosedChannelException
import java.time.Duration
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/**
 * Sends requests on the event loops of [loops]; [connectTimeout] limits the time to establish a connection, and
 * [memory] what is held of responses that are collected; [listener] is told of connections.
 */
class NettyHttpClient(
    private val loops: NettyEventLoops,
    private val connectTimeout: Duration = Duration.ofSeconds(1),
    private val listener: ConnectionListener = ConnectionListener.NONE,
    private val memory: MemoryBudget = MemoryBudget.unlimited(),
) : HttpClient {
    private val idleConnections = IdleConnections()

    init {
        loops.group.scheduleAtFixedRate(
            idleConnections::closeExpired,
            EXPIRY_CHECK_SECONDS,
            EXPIRY_CHECK_SECONDS,
            TimeUnit.SECONDS,
        )
    }

    override fun send(
        endpoint: Endpoint,
        request: HttpRequestMessage,
        options: SendOptions,
        listener: ResponseListener,
    ): OutgoingExchange = start(endpoint, request, options, listener)

    private fun start(
        endpoint: Endpoint,
        request: HttpRequestMessage,
        options: SendOptions,
        listener: ResponseListener,
    ): NettyExchange {
        val pool =
            object : ConnectionPool {
                override fun release(channel: Channel) =
                    idleConnections.add(endpoint, channel, channel.connection().keepAliveSeconds)

                override fun onUnresponsive() = closeIdleConnections(endpoint)
            }
        val exchange = NettyExchange(request, options, listener, pool, loops.group.next())
        if (options.connectionPolicy == ConnectionPolicy.NEW) {
            connect(endpoint, exchange)
        } else {
            startOnIdle(endpoint, exchange)
        }
        return exchange
    }

    /** Sends the request of [exchange] on an idle connection that is fit for it, or else on a new one. */
    private fun startOnIdle(
        endpoint: Endpoint,
        exchange: NettyExchange,
    ) {
        val idle = idleConnections.take(endpoint)
        if (idle == null) connect(endpoint, exchange) else exchange.start(idle) { startOnIdle(endpoint, exchange) }
    }

    override fun call(
        endpoint: Endpoint,
        request: HttpRequestMessage,
        timeout: Duration,
        connectionPolicy: ConnectionPolicy,
    ): CompletableFuture<Either<TransportFailure, HttpResponseMessage>> {
        val collector = ResponseCollector(memory)
        val exchange = start(endpoint, request, SendOptions(connectionPolicy, timeout), collector)
        collector.onTooLarge { exchange.close() }
        val callTimeout =
            LoopTimeout(exchange::loop, timeout) { if (collector.timeOut(exchange)) closeIdleConnections(endpoint) }
        callTimeout.start()
        collector.response.whenComplete { _, _ -> callTimeout.cancel() }
        return collector.response
    }

    override fun closeIdleConnections(endpoint: Endpoint) = idleConnections.close(endpoint)

    private fun connect(
        endpoint: Endpoint,
        exchange: NettyExchange,
    ) {
        Bootstrap()
            .group(exchange.loop)
            .channelFactory { ProbedSocketChannel() }
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeout.toMillis().toInt())
            .handler(ConnectionInitializer())
            .connect(endpoint.address, endpoint.port)
            .addListener { attempt ->
                if (attempt.isSuccess) {
                    listener.onOpened()
                    val connected = (attempt as ChannelFuture).channel()
                    exchange.start(connected) { exchange.failConnect(ClosedChannelException()) }
                } else {
                    exchange.failConnect(attempt.cause())
                }
            }
    }

    private companion object {
        const val EXPIRY_CHECK_SECONDS = 1L
    }

    private inner class ConnectionInitializer : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            val connection = ClientConnection(listener)
            channel
                .pipeline()
                .addLast(connection.decoder)
                .addLast(HttpRequestEncoder())
                .addLast(connection)
        }
    }
}

/** Returns the [ClientConnection] in the channel's pipeline. */
internal fun Channel.connection(): ClientConnection = pipeline().get(ClientConnection::class.java)

/** Closes a connection; [reason] is why no other request is sent on it. A closed one has no [ClientConnection]. */
internal fun Channel.end(reason: ConnectionEnd) {
    pipeline().get(ClientConnection::class.java)?.end(this, reason) ?: close()
}
