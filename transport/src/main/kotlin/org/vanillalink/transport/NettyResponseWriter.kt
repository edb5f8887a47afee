/*
 * Writes one response to a Netty channel. The state is confined to the channel's event loop.
 */
package org.vanillalink.transport

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent

/** How a response ended. */
internal enum class ResponseEnd {
    /** Complete; the connection stays open. */
    KEEPS_CONNECTION,

    /** Complete; it has said that the connection is closed. */
    CLOSES_CONNECTION,

    /** Broken off, or the caller disconnected before it was sent. */
    INCOMPLETE,
}

internal class NettyResponseWriter(
    private val context: ChannelHandlerContext,
    private val isKeepAlive: Boolean,
    private val mayBeKeptOpen: () -> Boolean,
    private val onEnded: (ResponseEnd) -> Unit,
) : ResponseWriter {
    private enum class Progress { NOT_STARTED, STARTED, ENDED }

    private var progress = Progress.NOT_STARTED
    private var isKeptOpen = isKeepAlive
    private var writableAction: (() -> Unit)? = null
    private var disconnectAction: (() -> Unit)? = null

    /** What [identify] was called with last. Confined to the event loop. */
    var requestId: String? = null
        private set

    override val isWritable: Boolean get() = context.channel().isWritable

    override fun identify(requestId: String) = runOnEventLoop { this.requestId = requestId }

    override fun start(
        status: Int,
        headers: HeaderFields,
    ) = runOnEventLoop {
        if (progress != Progress.NOT_STARTED) return@runOnEventLoop
        progress = Progress.STARTED
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
        applyHeaders(response, headers)
        HttpUtil.setTransferEncodingChunked(response, true)
        context.writeAndFlush(response)
    }

    override fun write(bytes: ByteArray) = runOnEventLoop {
        if (progress != Progress.STARTED || bytes.isEmpty()) return@runOnEventLoop
        context.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
    }

    override fun finish() = runOnEventLoop {
        if (progress != Progress.STARTED) return@runOnEventLoop
        progress = Progress.ENDED
        context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener { end(it.isSuccess) }
    }

    override fun respond(
        status: Int,
        headers: HeaderFields,
        body: ByteArray,
    ) = runOnEventLoop {
        if (progress != Progress.NOT_STARTED) return@runOnEventLoop
        progress = Progress.ENDED
        val content = Unpooled.wrappedBuffer(body)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content)
        applyHeaders(response, headers)
        HttpUtil.setContentLength(response, body.size.toLong())
        context.writeAndFlush(response).addListener { end(it.isSuccess) }
    }

    override fun abort() = runOnEventLoop {
        if (progress == Progress.ENDED) return@runOnEventLoop
        progress = Progress.ENDED
        onEnded(ResponseEnd.INCOMPLETE)
    }

    override fun onWritable(action: () -> Unit) = runOnEventLoop { writableAction = action }

    override fun onCallerDisconnected(action: () -> Unit) = runOnEventLoop {
        if (!context.channel().isActive) action() else disconnectAction = action
    }

    fun notifyWritable() {
        if (progress == Progress.STARTED) writableAction?.invoke()
    }

    fun notifyDisconnected() {
        if (progress == Progress.ENDED) return
        progress = Progress.ENDED
        onEnded(ResponseEnd.INCOMPLETE)
        disconnectAction?.invoke()
    }

    private fun end(isSent: Boolean) = onEnded(
        when {
            !isSent -> ResponseEnd.INCOMPLETE
            isKeptOpen -> ResponseEnd.KEEPS_CONNECTION
            else -> ResponseEnd.CLOSES_CONNECTION
        },
    )

    private fun applyHeaders(
        response: HttpResponse,
        headers: HeaderFields,
    ) {
        headers.all.forEach { (name, value) -> response.headers().set(name, value) }
        isKeptOpen = isKeepAlive && mayBeKeptOpen()
        if (!isKeptOpen) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    private fun runOnEventLoop(action: () -> Unit) {
        val executor = context.executor()
        if (executor.inEventLoop()) action() else executor.execute(action)
    }
}
