/*
 * Decodes the responses on a connection to a server strictly, and refuses bytes while no request is on it.
 */
package org.vanillalink.transport

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.util.AsciiString
import java.util.TreeSet

/** Calls [onUnsolicited] with its channel for bytes that arrive without a request. */
internal class ResponseDecoder(
    private val onUnsolicited: (Channel) -> Unit,
) : HttpResponseDecoder() {
    /** The method of the request whose response is awaited, or null if none is. */
    var requestMethod: String? = null

    /** Those of the response's fields that it has once at most. */
    private val foundFields = TreeSet(String.CASE_INSENSITIVE_ORDER)

    /** Whether bytes were received that are not part of what has been decoded. */
    val hasUndecodedBytes: Boolean get() = actualReadableBytes() > 0

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        if (requestMethod == null && message is ByteBuf) {
            message.release()
            onUnsolicited(context.channel())
        } else {
            super.channelRead(context, message)
        }
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean = when (requestMethod) {
        HttpMethod.HEAD.name() -> true
        HttpMethod.CONNECT.name() -> isSuccess(message) || super.isContentAlwaysEmpty(message)
        else -> super.isContentAlwaysEmpty(message)
    }

    override fun createMessage(initialLine: Array<String>): HttpMessage {
        foundFields.clear()
        val (version, status, reason) = initialLine
        findStatusLineFault(version, status, reason)?.let { throw MalformedResponseException(it) }
        return super.createMessage(initialLine)
    }

    /** The decoder takes the first word of a line without a colon, or with one further on, for a name. */
    override fun splitHeaderName(
        line: ByteArray,
        start: Int,
        length: Int,
    ): AsciiString {
        if (line[start + length] != ':'.code.toByte()) throw MalformedResponseException(ResponseFault.FIELD_NAME)
        val name = super.splitHeaderName(line, start, length)
        if (name.toString() in SINGLE_FIELDS && !foundFields.add(name.toString())) {
            throw MalformedResponseException(ResponseFault.REPEATED_FIELD)
        }
        return name
    }

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw MalformedResponseException(ResponseFault.LENGTH_AND_CHUNKS)

    private fun isSuccess(message: HttpMessage) =
        message is HttpResponse && message.status().codeClass() == HttpStatusClass.SUCCESS
}

/** Thrown while a response is decoded that has [fault]. */
internal class MalformedResponseException(
    val fault: ResponseFault,
) : IllegalArgumentException(fault.label, null)
