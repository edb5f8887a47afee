/*
 * One connection to a server: passes the answer's parts to the exchange that uses the connection now.
 */
package org.vanillalink.transport

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent

internal class ClientConnection : SimpleChannelInboundHandler<HttpObject>() {
    private var exchange: NettyExchange? = null
    private var isReusable = false
    private var interimResponses = 0
    private var isSkippingInterim = false

    /** How long the other side keeps an idle connection, where the last answer told. */
    var keepAliveSeconds: Int? = null
        private set

    fun attach(newExchange: NettyExchange) {
        exchange = newExchange
        isReusable = false
        interimResponses = 0
        isSkippingInterim = false
    }

    fun detach() {
        exchange = null
    }

    override fun channelRead0(
        context: ChannelHandlerContext,
        part: HttpObject,
    ) {
        val current = exchange
        if (current == null || part.decoderResult().isFailure) {
            context.close()
            current?.fail(TransportFailure.MalformedResponse("not HTTP"))
            return
        }
        if (skipInterim(part)) {
            // Interim answers tell nothing of the one that is due, and a server in trouble may send them without end.
            if (interimResponses > MAX_INTERIM_RESPONSES) {
                context.close()
                current.fail(TransportFailure.MalformedResponse("interim answers without end"))
            }
            return
        }
        if (part is HttpResponse) {
            isReusable = HttpUtil.isKeepAlive(part)
            keepAliveSeconds =
                KEEP_ALIVE_TIMEOUT
                    .find(part.headers()["keep-alive"].orEmpty())
                    ?.groupValues
                    ?.get(1)
                    ?.toIntOrNull()
            current.onHead(part.status().code(), part.headers().toFields())
        }
        if (part is HttpContent) forwardContent(current, part)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        exchange?.fail(TransportFailure.ConnectionLost("connection closed"))
    }

    @Suppress("OVERRIDE_DEPRECATION")
    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) {
        exchange?.fail(TransportFailure.ConnectionLost(cause.message.orEmpty()))
        context.close()
    }

    /** Whether [part] belongs to an interim answer. */
    private fun skipInterim(part: HttpObject): Boolean {
        if (part is HttpResponse && part.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            interimResponses += 1
            isSkippingInterim = true
        }
        val isInterim = isSkippingInterim
        if (part is LastHttpContent) isSkippingInterim = false
        return isInterim
    }

    private fun forwardContent(
        current: NettyExchange,
        content: HttpContent,
    ) {
        val size = content.content().readableBytes()
        if (size > 0) {
            val bytes = ByteArray(size)
            content.content().readBytes(bytes)
            current.onBodyChunk(bytes)
        }
        if (content is LastHttpContent) current.onComplete(isReusable)
    }

    private companion object {
        /** Sound servers send one or two. */
        const val MAX_INTERIM_RESPONSES = 8
        val KEEP_ALIVE_TIMEOUT = Regex("timeout=(\\d+)")
    }
}
