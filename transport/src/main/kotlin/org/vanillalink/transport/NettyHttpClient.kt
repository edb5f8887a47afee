/*
 * The HTTP client on Netty's codec, with a small pool of idle connections for each endpoint.
 */
package org.vanillalink.transport

import arrow.core.Either
import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpClientCodec
import org.vanillalink.model.Endpoint
import java.nio.channels.ClosedChannelException
import java.time.Duration
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/** Sends requests on the threads of [loops]. */
class NettyHttpClient(
    private val loops: NettyEventLoops,
    private val connectTimeout: Duration = Duration.ofSeconds(1),
) : HttpClient {
    private val idle = IdleConnections()

    init {
        loops.group.scheduleAtFixedRate(idle::sweep, SWEEP_SECONDS, SWEEP_SECONDS, TimeUnit.SECONDS)
    }

    override fun send(
        endpoint: Endpoint,
        request: HttpRequestMessage,
        options: SendOptions,
        listener: ResponseListener,
    ): OutgoingExchange {
        val pool =
            object : ConnectionPool {
                override fun release(channel: Channel) =
                    idle.add(endpoint, channel, channel.connection().keepAliveSeconds)

                override fun wentSilent() = closeIdleConnections(endpoint)
            }
        val exchange = NettyExchange(request, options, listener, pool)
        val reused = if (options.connection == ConnectionPolicy.NEW) null else idle.take(endpoint)
        if (reused == null) connect(endpoint, exchange) else exchange.begin(reused) { connect(endpoint, exchange) }
        return exchange
    }

    override fun call(
        endpoint: Endpoint,
        request: HttpRequestMessage,
        timeout: Duration,
        connection: ConnectionPolicy,
    ): CompletableFuture<Either<TransportFailure, HttpResponseMessage>> {
        val collector = ResponseCollector()
        val exchange = send(endpoint, request, SendOptions(connection, timeout), collector)
        collector.whenTooLarge { exchange.close() }
        loops.group.schedule(
            { if (collector.giveUp(exchange)) closeIdleConnections(endpoint) },
            timeout.toMillis(),
            TimeUnit.MILLISECONDS,
        )
        return collector.answer
    }

    override fun closeIdleConnections(endpoint: Endpoint) = idle.close(endpoint)

    private fun connect(
        endpoint: Endpoint,
        exchange: NettyExchange,
    ) {
        Bootstrap()
            .group(loops.group)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeout.toMillis().toInt())
            .handler(ConnectionInitializer)
            .connect(endpoint.address, endpoint.port)
            .addListener { attempt ->
                if (attempt.isSuccess) {
                    val connected = (attempt as ChannelFuture).channel()
                    exchange.begin(connected) { exchange.notConnected(ClosedChannelException()) }
                } else {
                    exchange.notConnected(attempt.cause())
                }
            }
    }

    private companion object {
        const val SWEEP_SECONDS = 1L
    }

    private object ConnectionInitializer : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            channel
                .pipeline()
                .addLast(HttpClientCodec())
                .addLast(ClientConnection())
        }
    }
}

/** Gives the [ClientConnection] of a channel. */
internal fun Channel.connection(): ClientConnection = pipeline().get(ClientConnection::class.java)
