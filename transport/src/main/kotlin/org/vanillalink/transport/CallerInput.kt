/*
 * The bytes that a caller sends, before they are decoded.
 */
package org.vanillalink.transport

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.util.ReferenceCountUtil

/**
 * Passes bytes to the decoder, or discards them once the connection is being closed. Confined to the channel's event
 * loop.
 */
internal class CallerInput : ChannelInboundHandlerAdapter() {
    /**
     * Whether part of a request has been received whose rest is missing. The first bytes of a head that are received
     * together with the request before it are not noticed.
     */
    var hasPartialRequest = false
        private set

    /** Whether the head of such a request has been received. */
    var hasPartialBody = false
        private set

    /** When bytes were last received, by [System.nanoTime]. */
    var lastReceivedAt = System.nanoTime()
        private set

    /** How many bytes have been discarded. */
    var discardedBytes = 0L
        private set
    private var onTooManyDiscarded: (() -> Unit)? = null

    /** Discards what is received from now on; [onTooMany] is called when that is more than a caller sends by chance. */
    fun discard(onTooMany: () -> Unit) {
        onTooManyDiscarded = onTooMany
    }

    /** Records that the head of a request has been decoded. */
    fun recordRequestBegun() {
        hasPartialRequest = true
        hasPartialBody = true
    }

    /** Records that a request has been decoded completely or can't be. */
    fun recordRequestEnded() {
        hasPartialRequest = false
        hasPartialBody = false
    }

    override fun channelRead(
        context: ChannelHandlerContext,
        bytes: Any,
    ) {
        val onTooMany = onTooManyDiscarded
        lastReceivedAt = System.nanoTime()
        if (onTooMany == null) {
            hasPartialRequest = true
            context.fireChannelRead(bytes)
            return
        }
        discardedBytes += (bytes as ByteBuf).readableBytes()
        ReferenceCountUtil.release(bytes)
        if (discardedBytes > MAX_DISCARDED_BYTES) onTooMany()
    }

    private companion object {
        /** The rest of a body over the limit is the most that a caller sends in good faith. */
        const val MAX_DISCARDED_BYTES = 16_777_216L
    }
}
