/*
 * Handler of one connection of a caller: requests are handled in order, one at a time.
 *
 * A connection is closed in two steps, since bytes that arrive at a closed socket make the kernel drop what the caller
 * has not received yet: the server ends its own direction, discards what it still receives, and closes the connection
 * once its caller has closed it, or after a while.
 */
package org.vanillalink.transport

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DuplexChannel
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.timeout.IdleStateEvent
import org.vanillalink.model.Refusal
import org.vanillalink.model.RefusalOutcome
import org.vanillalink.model.RefusalReason
import java.time.Duration
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

internal class ServerConnection(
    private val handler: HttpRequestHandler,
    private val requestsInProgress: AtomicInteger,
    private val currentIdleTimeout: () -> Duration,
    private val input: CallerInput = CallerInput(),
    private val endListener: CallerConnectionListener = CallerConnectionListener {},
    private val lingering: LingeringConnections = LingeringConnections(Int.MAX_VALUE),
    private val currentPhase: () -> ServerPhase,
) : SimpleChannelInboundHandler<FullHttpRequest>() {
    private data class QueuedRequest(
        val message: HttpRequestMessage,
        val isKeepAlive: Boolean,
    )

    private class LastRefusal(
        val refusal: Refusal,
        val endReason: CallerConnectionEndReason,
    )

    private val queue = ArrayDeque<QueuedRequest>()
    private var currentWriter: NettyResponseWriter? = null

    /** When a request was last received or a response last ended, by [System.nanoTime]. */
    private var lastActiveAt = System.nanoTime()
    private lateinit var context: ChannelHandlerContext

    /** Why this connection is being closed, or null while the server keeps it. */
    private var endReason: CallerConnectionEndReason? = null

    /** The response to input that is no request, which follows all others, until it is sent. */
    private var lastRefusal: LastRefusal? = null

    /** Whether nothing more is taken from the caller. */
    private var isInputEnded = false

    /** Whether a response has said that the connection is closed. */
    private var isCloseAnnounced = false

    /** Whether a request has got no complete response. */
    private var isResponseIncomplete = false

    /** The id of the request that has got no complete response, if its handler has given it one. */
    private var incompleteRequestId: String? = null

    /** How many requests have got no response at all. */
    private var abandoned = 0

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
    }

    override fun channelRead0(
        context: ChannelHandlerContext,
        request: FullHttpRequest,
    ) {
        input.recordRequestEnded()
        if (isClosing || isInputEnded) return
        if (request.decoderResult().isFailure) {
            refuseMalformed(request.decoderResult().cause())
            return
        }
        lastActiveAt = System.nanoTime()
        requestsInProgress.incrementAndGet()
        queue.addLast(QueuedRequest(request.toMessage(), HttpUtil.isKeepAlive(request)))
        // A caller that sends ahead waits; what was read with this request is still taken.
        if (queue.size >= MAX_QUEUED_REQUESTS) context.channel().config().isAutoRead = false
        // The task runs after the connection has been read to its end, so that a disconnected caller is detected first.
        context.executor().execute(::startNext)
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (context.channel().isWritable) currentWriter?.notifyWritable()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        abandonQueued()
        currentWriter?.notifyDisconnected()
        lingering.remove(this)
        endListener.onEnded(
            CallerConnectionEnd(
                endReason ?: reasonWithoutOwn(),
                isResponseIncomplete,
                abandoned,
                input.hasPartialRequest,
                input.discardedBytes,
                incompleteRequestId,
            ),
        )
    }

    private fun reasonWithoutOwn() = when (currentPhase()) {
        ServerPhase.CLOSED -> CallerConnectionEndReason.SERVER_CLOSED
        else -> CallerConnectionEndReason.CALLER_CLOSED
    }

    override fun userEventTriggered(
        context: ChannelHandlerContext,
        event: Any,
    ) {
        if (event !is IdleStateEvent || !isIdle || isClosing) return
        if (hasIdleTimeoutPassed()) close(CallerConnectionEndReason.IDLE)
    }

    @Suppress("OVERRIDE_DEPRECATION")
    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) = close(CallerConnectionEndReason.CONNECTION_FAILED)

    /** Closes the connection if it has no request; otherwise it closes once its last response has ended. */
    fun closeIfIdle() {
        context.executor().execute { if (isIdle) closeDrained() }
    }

    /**
     * Closes the connection, which has no request, after a short wait: its caller was not told, so a request may be
     * on its way, or lie unread in the socket while the event loop is late. One that is received in part has a longer
     * wait.
     */
    private fun closeDrained() {
        if (isClosing) return
        if (input.hasPartialRequest) {
            scheduleCheck(MAX_COMPLETION_WAIT, ::refuseIncomplete)
        } else {
            scheduleCheck(CROSSING_WAIT) {
                if (input.hasPartialRequest) closeDrained() else linger(CallerConnectionEndReason.DRAINED)
            }
        }
    }

    /** Runs [check] after [delay] if the connection still has no request. */
    private fun scheduleCheck(
        delay: Duration,
        check: () -> Unit,
    ) {
        val checkIfIdle = Runnable { if (isIdle && !isClosing) check() }
        context.executor().schedule(checkIfIdle, delay.toMillis(), TimeUnit.MILLISECONDS)
    }

    private fun refuseIncomplete() {
        if (!input.hasPartialBody) {
            linger(CallerConnectionEndReason.DRAINED)
            return
        }
        val detail = "this daemon is stopping and has not received the rest of the request"
        val refusal = Refusal(RefusalReason.NOT_READY, RefusalOutcome.NOT_RUN, detail)
        refuseLast(LastRefusal(refusal, CallerConnectionEndReason.DRAINED))
    }

    /** Closes the connection, which waits for its caller to close it, for [reason]. */
    fun endLingering(reason: CallerConnectionEndReason) = context.executor().execute {
        endReason = reason
        context.close()
    }

    /** The limit may have been raised since this connection was accepted; callers go by the current one. */
    private fun hasIdleTimeoutPassed(): Boolean = System.nanoTime() - maxOf(lastActiveAt, input.lastReceivedAt) >=
        currentIdleTimeout().minus(TIMER_TOLERANCE).toNanos()

    /** Whether no request has been received that has no complete response. */
    val isIdle: Boolean get() = currentWriter == null && queue.isEmpty() && lastRefusal == null

    private fun startNext() {
        if (!context.channel().isActive) abandonQueued()
        if (currentWriter != null) return
        val next = queue.removeFirstOrNull()
        if (next == null) {
            lastRefusal?.let(::send)
            return
        }
        context.channel().config().isAutoRead = true
        val writer =
            NettyResponseWriter(context, next.isKeepAlive && !isCloseAnnounced, ::mayBeKeptOpen) { endResponse(it) }
        currentWriter = writer
        try {
            if (isCloseAnnounced) handler.refuse(next.message, writer) else handler.handle(next.message, writer)
        } catch (
            @Suppress("TooGenericExceptionCaught") failure: RuntimeException,
        ) {
            handler.onFailure(next.message, failure)
            writer.refuse(Refusal(RefusalReason.OUTCOME_UNKNOWN, RefusalOutcome.UNKNOWN, "the daemon failed"))
            // Without effect on a response that is complete; one that had started is not.
            writer.abort()
        }
    }

    private fun send(last: LastRefusal) {
        lastRefusal = null
        val writer = NettyResponseWriter(context, false, ::mayBeKeptOpen) { endResponse(it, last.endReason) }
        currentWriter = writer
        writer.refuse(last.refusal)
    }

    /** The response to the last request that has been received says that the connection is closed. */
    private fun mayBeKeptOpen(): Boolean =
        currentPhase() == ServerPhase.SERVING || queue.isNotEmpty() || lastRefusal != null

    private fun endResponse(
        end: ResponseEnd,
        closeReason: CallerConnectionEndReason = CallerConnectionEndReason.RESPONSE_ENDED,
    ) {
        if (end == ResponseEnd.INCOMPLETE) {
            isResponseIncomplete = true
            incompleteRequestId = currentWriter?.requestId
        }
        currentWriter = null
        lastActiveAt = System.nanoTime()
        requestsInProgress.decrementAndGet()
        isCloseAnnounced = isCloseAnnounced || end == ResponseEnd.CLOSES_CONNECTION
        // The response may have begun, without `Connection: close`, before the server started to drain.
        when {
            end == ResponseEnd.INCOMPLETE -> linger(CallerConnectionEndReason.RESPONSE_ABORTED)
            isCloseAnnounced && isIdle -> linger(closeReason)
            currentPhase() == ServerPhase.DRAINING && isIdle -> closeDrained()
            else -> context.executor().execute(::startNext)
        }
    }

    /** Ends the server's direction of the connection, and closes it once the caller has read what was sent. */
    private fun linger(reason: CallerConnectionEndReason) {
        val channel = context.channel()
        if (isClosing || !channel.isActive) return
        val remaining = MAX_LINGER.minusNanos(System.nanoTime() - lastActiveAt)
        if (channel !is DuplexChannel || remaining <= Duration.ZERO) {
            close(reason)
            return
        }
        endReason = reason
        abandonQueued()
        input.discard { endLingering(CallerConnectionEndReason.CALLER_KEEPS_SENDING) }
        channel.config().isAutoRead = true
        lingering.add(this)
        val timeout =
            context.executor().schedule(
                { endLingering(CallerConnectionEndReason.NOT_CLOSED_BY_CALLER) },
                remaining.toMillis(),
                TimeUnit.MILLISECONDS,
            )
        channel.closeFuture().addListener { timeout.cancel(false) }
        // Behind all that has been written, which shutting down would drop.
        context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener { channel.shutdownOutput() }
    }

    private val isClosing: Boolean get() = endReason != null

    /** Closes the connection at once, and reports [reason]. */
    fun close(reason: CallerConnectionEndReason) {
        if (endReason == null && context.channel().isActive) endReason = reason
        context.close()
    }

    private fun abandonQueued() {
        abandoned += queue.size
        queue.forEach { handler.onAbandoned(it.message) }
        requestsInProgress.addAndGet(-queue.size)
        queue.clear()
        if (lastRefusal != null) requestsInProgress.decrementAndGet()
        lastRefusal = null
    }

    /** Refuses what is no request with [refusal] after all other responses, and then closes the connection. */
    fun refuseInput(refusal: Refusal) = refuseLast(LastRefusal(refusal, CallerConnectionEndReason.REQUEST_INVALID))

    private fun refuseLast(last: LastRefusal) {
        if (isClosing || isCloseAnnounced || isInputEnded) return
        isInputEnded = true
        lastRefusal = last
        requestsInProgress.incrementAndGet()
        context.executor().execute(::startNext)
    }

    private fun refuseMalformed(cause: Throwable) {
        val detail = cause.message ?: cause.javaClass.simpleName
        val isTooLarge = cause is TooLongHttpHeaderException
        val reason = if (isTooLarge) RefusalReason.HEADERS_TOO_LARGE else RefusalReason.MALFORMED_REQUEST
        refuseInput(Refusal(reason, RefusalOutcome.NOT_RUN, detail))
    }

    private companion object {
        const val MAX_QUEUED_REQUESTS = 16

        /** The event of an idle connection may come a little early. */
        val TIMER_TOLERANCE: Duration = Duration.ofMillis(5)

        /** Half of the time after which a request that is read and not answered counts as lost. */
        val CROSSING_WAIT: Duration = Duration.ofMillis(100)

        /** Callers give a request up that has not been read after a second. */
        val MAX_COMPLETION_WAIT: Duration = Duration.ofSeconds(1)

        /** From the end of the last response. Callers close at once; the rest is for those that read slowly. */
        val MAX_LINGER: Duration = Duration.ofSeconds(2)
    }
}

private fun FullHttpRequest.toMessage(): HttpRequestMessage {
    val bytes = ByteArray(content().readableBytes())
    content().readBytes(bytes)
    return HttpRequestMessage(method().name(), uri(), headers().toFields(), bytes)
}

internal fun HttpHeaders.toFields(): HeaderFields {
    val fields = LinkedHashMap<String, String>()
    for (entry in this) fields.merge(entry.key.lowercase(), entry.value) { previous, added -> "$previous, $added" }
    return HeaderFields(fields)
}
