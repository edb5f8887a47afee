/*
 * Splits a stream of server-sent events into complete events, unchanged byte for byte, and reads their ids.
 */
package org.vanillalink.gateway.traffic

import java.io.ByteArrayOutputStream

/** Complete events as received. [firstId] and [lastId] are the first and last numeric ids, or null without any. */
internal class CompleteEvents(
    val bytes: ByteArray,
    val firstId: Long?,
    val lastId: Long?,
)

/** Buffers the incomplete event at the end of the stream. */
internal class EventSplitter {
    private val pending = ByteArrayOutputStream()

    /** Whether the incomplete event exceeds the size limit. */
    val isTooLarge: Boolean get() = pending.size() > MAX_EVENT_BYTES

    /** Whether an incomplete event is buffered. */
    val isMidEvent: Boolean get() = pending.size() > 0

    /** Appends [chunk] and returns the events that it completes, or null where it completes none. */
    fun append(chunk: ByteArray): CompleteEvents? {
        pending.write(chunk)
        val pendingBytes = pending.toByteArray()
        val completeLength = endOfLastEvent(pendingBytes)
        if (completeLength == 0) return null
        pending.reset()
        pending.write(pendingBytes, completeLength, pendingBytes.size - completeLength)
        return readEventIds(pendingBytes.copyOf(completeLength))
    }

    private fun endOfLastEvent(bytes: ByteArray): Int {
        var index = bytes.size - 1
        while (index >= 1) {
            if (bytes[index] == LINE_FEED && endsEvent(bytes, index)) return index + 1
            index -= 1
        }
        return 0
    }

    private fun endsEvent(
        bytes: ByteArray,
        index: Int,
    ): Boolean {
        if (bytes[index - 1] == LINE_FEED) return true
        return index >= 2 && bytes[index - 1] == CARRIAGE_RETURN && bytes[index - 2] == LINE_FEED
    }

    private fun readEventIds(bytes: ByteArray): CompleteEvents {
        var firstId: Long? = null
        var lastId: Long? = null
        String(bytes, Charsets.ISO_8859_1).lineSequence().forEach { line ->
            if (!line.startsWith(ID_FIELD)) return@forEach
            val id = line.substring(ID_FIELD.length).trim().toLongOrNull() ?: return@forEach
            firstId = firstId ?: id
            lastId = id
        }
        return CompleteEvents(bytes, firstId, lastId)
    }

    private companion object {
        /** Far more than an event of a few tokens needs. */
        const val MAX_EVENT_BYTES = 1_048_576
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"
    }
}
