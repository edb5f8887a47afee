/*
 * Splits a stream of server-sent events into complete events, unchanged byte for byte, and reads their ids.
 */
package org.vanillalink.gateway.traffic

import java.io.ByteArrayOutputStream

/**
 * Complete events as received, with their numeric [ids] in order. [hasForeignText] is whether there is text among them
 * that is neither an event with an id nor a comment, such as an error of the target.
 */
internal class CompleteEvents(
    val bytes: ByteArray,
    val ids: List<Long>,
    val hasForeignText: Boolean,
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
        return readEvents(pendingBytes.copyOf(completeLength))
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

    private fun readEvents(bytes: ByteArray): CompleteEvents {
        val ids = ArrayList<Long>()
        var idOfEvent: Long? = null
        var hasFields = false
        var hasForeignText = false
        String(bytes, Charsets.ISO_8859_1).lineSequence().forEach { line ->
            val text = line.removeSuffix("\r")
            when {
                text.isEmpty() -> {
                    if (hasFields && idOfEvent == null) hasForeignText = true
                    idOfEvent?.let(ids::add)
                    idOfEvent = null
                    hasFields = false
                }

                text.startsWith(COMMENT_MARK) -> {
                    Unit
                }

                else -> {
                    hasFields = true
                    if (text.startsWith(ID_FIELD)) idOfEvent = text.substring(ID_FIELD.length).trim().toLongOrNull()
                }
            }
        }
        return CompleteEvents(bytes, ids, hasForeignText)
    }

    private companion object {
        /** Far more than an event of a few tokens needs. */
        const val MAX_EVENT_BYTES = 1_048_576
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"
        const val COMMENT_MARK = ":"
    }
}
