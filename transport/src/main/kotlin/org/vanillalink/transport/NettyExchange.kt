/*
 * One request and its response on a Netty channel. Once started, the state is confined to the channel's event loop,
 * except for the volatile and atomic fields.
 */
package org.vanillalink.transport

import arrow.core.Either
import arrow.core.getOrElse
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import java.net.ConnectException
import java.time.Duration
import java.util.concurrent.atomic.AtomicBoolean

/** The pool that an exchange's connection belongs to. */
internal interface ConnectionPool {
    /** Returns [channel] to the pool for another exchange. */
    fun release(channel: Channel)

    /** A connection did not deliver a response in time. */
    fun onUnresponsive()
}

internal class NettyExchange(
    private val request: HttpRequestMessage,
    private val options: SendOptions,
    private val listener: ResponseListener,
    private val pool: ConnectionPool,
    newConnectionLoop: EventLoop,
) : OutgoingExchange {
    private val isEnded = AtomicBoolean()

    @Volatile
    private var channel: Channel? = null

    /** The event loop of the connection, or of the one to be established. */
    @Volatile
    var loop: EventLoop = newConnectionLoop
        private set

    @Volatile
    override var isOnKeptConnection = false
        private set

    @Volatile
    private var isReading = true
    private var silenceTimeout: LoopTimeout? = null
    private var isWritten = false

    val method: String get() = request.method

    override fun setReading(isReading: Boolean) {
        this.isReading = isReading
        channel?.let { it.eventLoop().execute { if (!isEnded.get()) it.config().isAutoRead = this.isReading } }
    }

    override fun close() {
        if (isEnded.compareAndSet(false, true)) channel?.close()
    }

    /** Sends the request on [connected], or calls [onStale] if no byte was sent since that is not fit for a request. */
    fun start(
        connected: Channel,
        onStale: () -> Unit,
    ) {
        channel = connected
        loop = connected.eventLoop()
        connected.eventLoop().execute {
            if (isEnded.get()) {
                connected.close()
                return@execute
            }
            // An idle connection may be closed, or receive bytes, after it was taken from the pool.
            val connection = connected.pipeline().get(ClientConnection::class.java)
            if (connection == null || !connection.checkFitness(connected)) {
                onStale()
                return@execute
            }
            val message =
                Either.catch(::toNettyRequest).getOrElse { failure ->
                    connected.close()
                    failConnect(failure)
                    return@execute
                }
            isOnKeptConnection = connection.attach(this)
            connected.config().isAutoRead = isReading
            listener.onSending()
            startSilenceTimeout(options.responseTimeout)
            connected.writeAndFlush(message).addListener { written ->
                isWritten = written.isSuccess
                if (!written.isSuccess) fail(TransportFailure.ConnectionLost(written.cause().message.orEmpty()))
            }
        }
    }

    fun failConnect(cause: Throwable) {
        if (!isEnded.compareAndSet(false, true)) return
        val isTimeout = cause is ConnectTimeoutException
        val isRefused = cause is ConnectException && !isTimeout
        listener.onFailure(TransportFailure.NotConnected(cause.message.orEmpty(), isRefused))
    }

    fun onHead(
        status: Int,
        headers: HeaderFields,
    ) {
        restartReadTimeout()
        if (!isEnded.get()) listener.onHead(status, headers)
    }

    fun onBodyChunk(bytes: ByteArray) {
        restartReadTimeout()
        if (!isEnded.get()) listener.onBodyChunk(bytes)
    }

    /** The response is complete; no other request is sent on the connection for [reason], unless that is null. */
    fun onComplete(reason: ConnectionEnd?) {
        silenceTimeout?.cancel()
        if (!isEnded.compareAndSet(false, true)) return
        val connection = channel ?: return
        connection.connection().detach()
        connection.config().isAutoRead = true
        // A response may arrive before the request is completely written; its rest must not precede the next request.
        when {
            reason != null -> connection.end(reason)
            !isWritten -> connection.end(ConnectionEnd.REQUEST_INCOMPLETE)
            else -> pool.release(connection)
        }
        listener.onComplete()
    }

    fun fail(failure: TransportFailure) {
        silenceTimeout?.cancel()
        if (!isEnded.compareAndSet(false, true)) return
        channel?.close()
        listener.onFailure(failure)
    }

    private fun restartReadTimeout() {
        silenceTimeout?.cancel()
        options.readTimeout?.let(::startSilenceTimeout)
    }

    /** Time while reading is paused does not count: a timeout that expires then is started again. */
    private fun startSilenceTimeout(timeout: Duration) {
        val started = LoopTimeout(::loop, timeout) { if (isReading) expire(timeout) else startSilenceTimeout(timeout) }
        silenceTimeout = started
        started.start()
    }

    private fun expire(timeout: Duration) {
        if (!isEnded.get()) pool.onUnresponsive()
        fail(TransportFailure.TimedOut("no byte received within ${timeout.toMillis()} ms"))
    }

    private fun toNettyRequest(): DefaultFullHttpRequest {
        val body = Unpooled.wrappedBuffer(request.body)
        val message =
            DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(request.method), request.target, body)
        request.headers.all.forEach { (name, value) -> message.headers().set(name, value) }
        HttpUtil.setContentLength(message, request.body.size.toLong())
        if (!message.headers().contains("host")) message.headers().set("host", "target")
        return message
    }
}
