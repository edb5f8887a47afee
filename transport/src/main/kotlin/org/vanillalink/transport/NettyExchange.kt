/*
 * One request and its answer on a Netty connection. Once begun, all state is touched on the connection's event loop.
 */
package org.vanillalink.transport

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ConnectTimeoutException
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.util.concurrent.Future
import java.net.ConnectException
import java.time.Duration
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean

/** Where an exchange's connection came from. */
internal interface ConnectionPool {
    /** [channel] may carry another exchange. */
    fun release(channel: Channel)

    /** A connection gave no answer in time. */
    fun wentSilent()
}

internal class NettyExchange(
    private val request: HttpRequestMessage,
    private val options: SendOptions,
    private val listener: ResponseListener,
    private val pool: ConnectionPool,
) : OutgoingExchange {
    private val ended = AtomicBoolean()

    @Volatile
    private var channel: Channel? = null

    @Volatile
    private var reading = true
    private var timeout: Future<*>? = null
    private var isWritten = false

    override fun setReading(reading: Boolean) {
        this.reading = reading
        channel?.let { it.eventLoop().execute { if (!ended.get()) it.config().isAutoRead = this.reading } }
    }

    override fun close() {
        if (ended.compareAndSet(false, true)) channel?.close()
    }

    /** Sends the request on [connected], or calls [whenStale] where that has ended before a byte could leave. */
    fun begin(
        connected: Channel,
        whenStale: () -> Unit,
    ) {
        channel = connected
        connected.eventLoop().execute {
            if (ended.get()) {
                connected.close()
                return@execute
            }
            // A kept connection may end between its choice and this moment.
            val connection = connected.pipeline().get(ClientConnection::class.java)
            if (connection == null || !connected.isActive) {
                whenStale()
                return@execute
            }
            connection.use(this)
            connected.config().isAutoRead = reading
            listener.onSending()
            scheduleTimeout(connected, options.responseTimeout)
            connected.writeAndFlush(toNetty()).addListener { written ->
                isWritten = written.isSuccess
                if (!written.isSuccess) fail(TransportFailure.ConnectionLost(written.cause().message.orEmpty()))
            }
        }
    }

    fun notConnected(cause: Throwable) {
        if (!ended.compareAndSet(false, true)) return
        val isTimeout = cause is ConnectTimeoutException
        val isRefused = cause is ConnectException && !isTimeout
        listener.onFailure(TransportFailure.NotConnected(cause.message.orEmpty(), isRefused))
    }

    fun onHead(
        status: Int,
        headers: HeaderFields,
    ) {
        watchSilence()
        if (!ended.get()) listener.onHead(status, headers)
    }

    fun onBodyChunk(bytes: ByteArray) {
        watchSilence()
        if (!ended.get()) listener.onBodyChunk(bytes)
    }

    fun onComplete(reusable: Boolean) {
        timeout?.cancel(false)
        if (!ended.compareAndSet(false, true)) return
        val connection = channel ?: return
        connection.connection().leave()
        connection.config().isAutoRead = true
        // An answer may come before the request's body has left; the rest must not precede the next request.
        if (reusable && isWritten) pool.release(connection) else connection.close()
        listener.onComplete()
    }

    fun fail(failure: TransportFailure) {
        timeout?.cancel(false)
        if (!ended.compareAndSet(false, true)) return
        channel?.close()
        listener.onFailure(failure)
    }

    private fun watchSilence() {
        timeout?.cancel(false)
        val connected = channel ?: return
        options.readTimeout?.let { scheduleTimeout(connected, it) }
    }

    /** Time while the answer isn't read doesn't count. */
    private fun scheduleTimeout(
        connected: Channel,
        bound: Duration,
    ) {
        val expire = Runnable { if (reading) silent(bound) else scheduleTimeout(connected, bound) }
        timeout = connected.eventLoop().schedule(expire, bound.toMillis(), TimeUnit.MILLISECONDS)
    }

    private fun silent(bound: Duration) {
        if (!ended.get()) pool.wentSilent()
        fail(TransportFailure.TimedOut("no byte within ${bound.toMillis()} ms"))
    }

    private fun toNetty(): DefaultFullHttpRequest {
        val body = Unpooled.wrappedBuffer(request.body)
        val message =
            DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(request.method), request.target, body)
        request.headers.all.forEach { (name, value) -> message.headers().set(name, value) }
        HttpUtil.setContentLength(message, request.body.size.toLong())
        if (!message.headers().contains("host")) message.headers().set("host", "target")
        return message
    }
}
