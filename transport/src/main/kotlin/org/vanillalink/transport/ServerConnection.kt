/*
 * One caller's connection: requests in order, one at a time.
 */
package org.vanillalink.transport

import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.timeout.IdleStateEvent
import org.vanillalink.model.Refusal
import org.vanillalink.model.RefusalOutcome
import org.vanillalink.model.RefusalReason
import java.util.concurrent.atomic.AtomicInteger

internal class ServerConnection(
    private val handler: HttpRequestHandler,
    private val inProgress: AtomicInteger,
    private val isDraining: () -> Boolean,
) : SimpleChannelInboundHandler<FullHttpRequest>() {
    private data class WaitingRequest(
        val message: HttpRequestMessage,
        val keepAlive: Boolean,
    )

    private val waiting = ArrayDeque<WaitingRequest>()
    private var current: NettyResponseWriter? = null
    private lateinit var context: ChannelHandlerContext

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
    }

    override fun channelRead0(
        context: ChannelHandlerContext,
        request: FullHttpRequest,
    ) {
        if (request.decoderResult().isFailure) {
            refuseMalformed(request.decoderResult().cause())
            return
        }
        if (waiting.size >= REQUESTS_WAITING) {
            context.close()
            return
        }
        waiting.addLast(WaitingRequest(request.toMessage(), HttpUtil.isKeepAlive(request)))
        // By then the connection has been read up to its end, so that a caller who has left already is known.
        context.executor().execute(::handleNext)
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (context.channel().isWritable) current?.callerCaughtUp()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        abandonWaiting()
        current?.callerGone()
    }

    override fun userEventTriggered(
        context: ChannelHandlerContext,
        event: Any,
    ) {
        if (event is IdleStateEvent && current == null) context.close()
    }

    @Suppress("OVERRIDE_DEPRECATION")
    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) {
        context.close()
    }

    /** Closes the connection now if no answer is due, else once the answer has ended. */
    fun closeWhenIdle() {
        context.executor().execute { if (current == null) context.close() }
    }

    private fun handleNext() {
        if (!context.channel().isActive) abandonWaiting()
        if (current != null) return
        val next = waiting.removeFirstOrNull() ?: return
        inProgress.incrementAndGet()
        val writer = NettyResponseWriter(context, next.keepAlive, isDraining, ::answerEnded)
        current = writer
        handler.handle(next.message, writer)
    }

    private fun answerEnded(keepOpen: Boolean) {
        current = null
        inProgress.decrementAndGet()
        if (!keepOpen) {
            context.close()
            return
        }
        context.executor().execute(::handleNext)
    }

    private fun abandonWaiting() {
        waiting.forEach { handler.onAbandoned(it.message) }
        waiting.clear()
    }

    private fun refuseMalformed(cause: Throwable) {
        val detail = cause.message ?: cause.javaClass.simpleName
        val tooLarge = cause is TooLongHttpHeaderException
        val reason = if (tooLarge) RefusalReason.HEADERS_TOO_LARGE else RefusalReason.MALFORMED_REQUEST
        val refusal = Refusal(reason, RefusalOutcome.NOT_RUN, detail)
        context.writeAndFlush(problemResponse(refusal)).addListener(ChannelFutureListener.CLOSE)
    }

    private companion object {
        const val REQUESTS_WAITING = 16
    }
}

private fun FullHttpRequest.toMessage(): HttpRequestMessage {
    val bytes = ByteArray(content().readableBytes())
    content().readBytes(bytes)
    return HttpRequestMessage(method().name(), uri(), headers().toFields(), bytes)
}

internal fun HttpHeaders.toFields(): HeaderFields {
    val fields = LinkedHashMap<String, String>()
    for (entry in this) fields.merge(entry.key.lowercase(), entry.value) { first, second -> "$first, $second" }
    return HeaderFields(fields)
}
