/*
 * Aggregates a request with a body up to a size limit, and refuses a larger one with problem details.
 */
package org.vanillalink.transport

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPipeline
import io.netty.handler.codec.http.FullHttpMessage
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.util.ReferenceCountUtil
import org.vanillalink.model.Refusal
import org.vanillalink.model.RefusalOutcome
import org.vanillalink.model.RefusalReason

/**
 * Refuses requests with a larger body than [maxBodyBytes] until [currentMaxBodyBytes], which is read at the head of
 * each request, is another one: from that request on the new limit applies.
 */
internal class BoundedRequestAggregator(
    private val maxBodyBytes: Int,
    private val input: CallerInput,
    private val currentMaxBodyBytes: () -> Int = { maxBodyBytes },
) : HttpObjectAggregator(maxBodyBytes) {
    override fun decode(
        context: ChannelHandlerContext,
        message: HttpObject,
        out: MutableList<Any>,
    ) {
        val currentLimit = currentMaxBodyBytes()
        if (message !is HttpMessage || currentLimit == maxBodyBytes) {
            super.decode(context, message, out)
            return
        }
        // The limit of an aggregator is fixed, so another one takes its place and receives this head next.
        context.pipeline().replace(this, null, BoundedRequestAggregator(currentLimit, input, currentMaxBodyBytes))
        out.add(ReferenceCountUtil.retain(message))
    }

    override fun beginAggregation(
        start: HttpMessage,
        content: ByteBuf,
    ): FullHttpMessage {
        input.recordRequestBegun()
        return super.beginAggregation(start, content)
    }

    /** A caller that waits for `100 Continue` behind another response sends its body after a while without it. */
    override fun newContinueResponse(
        start: HttpMessage,
        maxContentLength: Int,
        pipeline: ChannelPipeline,
    ): Any? {
        val isBehindOthers = start.headers().contains(HttpHeaderNames.EXPECT) && !connection(pipeline).isIdle
        return if (isBehindOthers) null else super.newContinueResponse(start, maxContentLength, pipeline)
    }

    override fun handleOversizedMessage(
        context: ChannelHandlerContext,
        oversized: HttpMessage,
    ) {
        input.recordRequestEnded()
        val detail = "The body is larger than $maxBodyBytes bytes."
        val refusal = Refusal(RefusalReason.REQUEST_TOO_LARGE, RefusalOutcome.NOT_RUN, detail)
        connection(context.pipeline()).refuseInput(refusal)
    }

    private fun connection(pipeline: ChannelPipeline) = pipeline.get(ServerConnection::class.java)
}
