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
    private var reusable = false
    private var informational = 0
    private var isPassingOver = false

    /** How long the other side keeps an idle connection, where the last answer told. */
    var keepAliveSeconds: Int? = null
        private set

    fun use(next: NettyExchange) {
        exchange = next
        reusable = false
        informational = 0
        isPassingOver = false
    }

    fun leave() {
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
        if (isInformational(part)) {
            // Interim answers tell nothing of the one that is due, and a server in trouble may send them without end.
            if (informational > INFORMATIONAL_AT_MOST) {
                context.close()
                current.fail(TransportFailure.MalformedResponse("interim answers without end"))
            }
            return
        }
        if (part is HttpResponse) {
            reusable = HttpUtil.isKeepAlive(part)
            keepAliveSeconds =
                KEEP_ALIVE_TIMEOUT
                    .find(part.headers()["keep-alive"].orEmpty())
                    ?.groupValues
                    ?.get(1)
                    ?.toIntOrNull()
            current.onHead(part.status().code(), part.headers().toFields())
        }
        if (part is HttpContent) passContent(current, part)
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
    private fun isInformational(part: HttpObject): Boolean {
        if (part is HttpResponse && part.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            informational += 1
            isPassingOver = true
        }
        val isPart = isPassingOver
        if (part is LastHttpContent) isPassingOver = false
        return isPart
    }

    private fun passContent(
        current: NettyExchange,
        content: HttpContent,
    ) {
        val size = content.content().readableBytes()
        if (size > 0) {
            val bytes = ByteArray(size)
            content.content().readBytes(bytes)
            current.onBodyChunk(bytes)
        }
        if (content is LastHttpContent) current.onComplete(reusable)
    }

    private companion object {
        /** Sound servers send one or two. */
        const val INFORMATIONAL_AT_MOST = 8
        val KEEP_ALIVE_TIMEOUT = Regex("timeout=(\\d+)")
    }
}
