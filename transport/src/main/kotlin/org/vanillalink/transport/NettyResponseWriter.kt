/*
 * Writes one answer to a Netty connection. All state is touched on the connection's event loop only.
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

internal class NettyResponseWriter(
    private val context: ChannelHandlerContext,
    private val keepAlive: Boolean,
    private val isDraining: () -> Boolean,
    private val ended: (keepOpen: Boolean) -> Unit,
) : ResponseWriter {
    private enum class Progress { NOTHING, STARTED, ENDED }

    private var progress = Progress.NOTHING
    private var keepOpen = keepAlive
    private var whenWritable: (() -> Unit)? = null
    private var whenGone: (() -> Unit)? = null

    override val isWritable: Boolean get() = context.channel().isWritable

    override fun start(
        status: Int,
        headers: HeaderFields,
    ) = onLoop {
        if (progress != Progress.NOTHING) return@onLoop
        progress = Progress.STARTED
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
        fill(response, headers)
        HttpUtil.setTransferEncodingChunked(response, true)
        context.writeAndFlush(response)
    }

    override fun write(bytes: ByteArray) = onLoop {
        if (progress != Progress.STARTED || bytes.isEmpty()) return@onLoop
        context.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
    }

    override fun finish() = onLoop {
        if (progress != Progress.STARTED) return@onLoop
        progress = Progress.ENDED
        context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener { ended(keepOpen) }
    }

    override fun respond(
        status: Int,
        headers: HeaderFields,
        body: ByteArray,
    ) = onLoop {
        if (progress != Progress.NOTHING) return@onLoop
        progress = Progress.ENDED
        val content = Unpooled.wrappedBuffer(body)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content)
        fill(response, headers)
        HttpUtil.setContentLength(response, body.size.toLong())
        context.writeAndFlush(response).addListener { ended(keepOpen) }
    }

    override fun abort() = onLoop {
        if (progress == Progress.ENDED) return@onLoop
        progress = Progress.ENDED
        ended(false)
    }

    override fun onWritable(action: () -> Unit) = onLoop { whenWritable = action }

    override fun onCallerDisconnected(action: () -> Unit) = onLoop {
        if (!context.channel().isActive) action() else whenGone = action
    }

    fun callerCaughtUp() {
        if (progress == Progress.STARTED) whenWritable?.invoke()
    }

    fun callerGone() {
        if (progress == Progress.ENDED) return
        progress = Progress.ENDED
        ended(false)
        whenGone?.invoke()
    }

    private fun fill(
        response: HttpResponse,
        headers: HeaderFields,
    ) {
        headers.all.forEach { (name, value) -> response.headers().set(name, value) }
        keepOpen = keepAlive && !isDraining()
        if (!keepOpen) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    private fun onLoop(action: () -> Unit) {
        val executor = context.executor()
        if (executor.inEventLoop()) action() else executor.execute(action)
    }
}
