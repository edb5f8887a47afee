/*
 * Counts what a connection's peer has not read yet in the memory budget; the connection is closed when others need the
 * memory and this one holds most.
 */
package org.vanillalink.transport

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOutboundHandlerAdapter
import io.netty.channel.ChannelPromise
import io.netty.util.ReferenceCountUtil
import java.io.IOException

internal class BudgetedWrites(
    private val memory: MemoryBudget,
) : ChannelOutboundHandlerAdapter() {
    private lateinit var reservation: MemoryBudget.Reservation

    override fun handlerAdded(context: ChannelHandlerContext) {
        reservation = memory.open { context.executor().execute { closeUnread(context) } }
    }

    override fun write(
        context: ChannelHandlerContext,
        message: Any,
        promise: ChannelPromise,
    ) {
        val bytes = (message as? ByteBuf)?.readableBytes() ?: 0
        if (bytes == 0) {
            context.write(message, promise)
            return
        }
        if (!reservation.reserve(bytes)) {
            ReferenceCountUtil.release(message)
            closeUnread(context)
            promise.tryFailure(IOException("the memory for bodies is used up, and this connection holds most"))
            return
        }
        context.write(message, promise.unvoid().addListener { reservation.release(bytes) })
    }

    private fun closeUnread(context: ChannelHandlerContext) {
        context.pipeline().get(ServerConnection::class.java)?.close(CallerConnectionEndReason.RESPONSES_UNREAD)
        context.close()
    }
}
