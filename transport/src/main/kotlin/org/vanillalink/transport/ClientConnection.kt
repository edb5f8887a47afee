/*
 * Handler of one connection to a server: passes the parts of a response to the exchange that uses the connection.
 */
package org.vanillalink.transport

import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import java.util.concurrent.atomic.AtomicBoolean

internal class ClientConnection(
    private val listener: ConnectionListener = ConnectionListener.NONE,
) : SimpleChannelInboundHandler<HttpObject>() {
    private val isEnded = AtomicBoolean()

    /** Precedes this handler in the pipeline. */
    val decoder = ResponseDecoder { channel -> end(channel, ConnectionEnd.UNSOLICITED_BYTES) }
    private var exchange: NettyExchange? = null
    private var isUsed = false
    private var isPersistent = false
    private var interimResponses = 0
    private var isSkippingInterim = false

    /** How long the server keeps an idle connection, if the last response had that in its `Keep-Alive` field. */
    var keepAliveSeconds: Int? = null
        private set

    /** Passes the next response to [newExchange]; returns whether an earlier exchange has used this connection. */
    fun attach(newExchange: NettyExchange): Boolean {
        val wasUsed = isUsed
        isUsed = true
        exchange = newExchange
        decoder.requestMethod = newExchange.method
        isPersistent = false
        interimResponses = 0
        isSkippingInterim = false
        return wasUsed
    }

    fun detach() {
        exchange = null
        decoder.requestMethod = null
    }

    /**
     * Whether a request can be sent on [channel], the connection's own: it is open, and nothing but the whole responses
     * to earlier requests has come over it. Closes it otherwise.
     */
    fun checkFitness(channel: Channel): Boolean {
        val reason = (channel as? ProbedSocketChannel)?.probe() ?: return channel.isActive
        end(channel, reason)
        return false
    }

    /** Closes [channel], the connection's own; [reason] is why no other request is sent on it. */
    fun end(
        channel: Channel,
        reason: ConnectionEnd,
    ) {
        if (isEnded.compareAndSet(false, true)) listener.onEnded(reason)
        channel.close()
    }

    override fun channelRead0(
        context: ChannelHandlerContext,
        part: HttpObject,
    ) {
        // Parts that are decoded from the bytes behind a response belong to no request.
        val current = exchange ?: return
        val fault = findFault(part)
        if (fault != null) {
            // What the end of a connection leaves of a head can't be decoded; channelInactive fails the request.
            if (context.channel().isActive) failMalformed(context, current, fault)
            return
        }
        if (skipInterim(part)) {
            // Interim (1xx) responses carry no result, and a faulty server may send them endlessly.
            if (interimResponses > MAX_INTERIM_RESPONSES) {
                failMalformed(context, current, ResponseFault.INTERIM_RESPONSES)
            }
            return
        }
        if (part is HttpResponse) {
            isPersistent = HttpUtil.isKeepAlive(part) && current.method != HttpMethod.CONNECT.name()
            keepAliveSeconds =
                KEEP_ALIVE_TIMEOUT
                    .find(part.headers()["keep-alive"].orEmpty())
                    ?.groupValues
                    ?.get(1)
                    ?.toIntOrNull()
            current.onHead(part.status().code(), part.headers().toFields())
        }
        if (part is HttpContent) forwardContent(context, current, part)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        val current = exchange
        if (current == null) {
            end(context.channel(), ConnectionEnd.CLOSED_BY_SERVER)
        } else {
            current.fail(TransportFailure.ConnectionLost("connection closed before the response was complete"))
        }
    }

    private fun findFault(part: HttpObject): ResponseFault? = when {
        part.decoderResult().isFailure -> {
            (part.decoderResult().cause() as? MalformedResponseException)?.fault ?: ResponseFault.UNDECODABLE
        }

        part is HttpResponse -> {
            findFieldFault(part)
        }

        part is LastHttpContent && holdsStatusLine(part.trailingHeaders()) -> {
            ResponseFault.STATUS_LINE_IN_FIELD
        }

        else -> {
            null
        }
    }

    private fun failMalformed(
        context: ChannelHandlerContext,
        current: NettyExchange,
        fault: ResponseFault,
    ) {
        detach()
        listener.onMalformed(fault)
        end(context.channel(), ConnectionEnd.MALFORMED_RESPONSE)
        current.fail(TransportFailure.MalformedResponse(fault.label))
    }

    @Suppress("OVERRIDE_DEPRECATION")
    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) {
        exchange?.fail(TransportFailure.ConnectionLost(cause.message.orEmpty()))
        context.close()
    }

    /** Returns whether [part] belongs to an interim response, which is skipped, and counts these responses. */
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
        context: ChannelHandlerContext,
        current: NettyExchange,
        content: HttpContent,
    ) {
        val size = content.content().readableBytes()
        if (size > 0) {
            val bytes = ByteArray(size)
            content.content().readBytes(bytes)
            current.onBodyChunk(bytes)
        }
        if (content is LastHttpContent) current.onComplete(endOf(context.channel()))
    }

    /** Returns why no other request can be sent after a complete response, or null. */
    private fun endOf(channel: Channel): ConnectionEnd? = when {
        !isPersistent || !channel.isActive -> ConnectionEnd.NOT_PERSISTENT
        decoder.hasUndecodedBytes -> ConnectionEnd.UNSOLICITED_BYTES
        else -> null
    }

    private companion object {
        /** For each request; a healthy server sends one or two. */
        const val MAX_INTERIM_RESPONSES = 8
        val KEEP_ALIVE_TIMEOUT = Regex("timeout=(\\d+)")
    }
}
