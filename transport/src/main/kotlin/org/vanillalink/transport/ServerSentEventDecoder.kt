/*
 * Splits a stream of server-sent events into the data of each event. Only `data` fields are used; comments and other
 * fields are ignored.
 */
package org.vanillalink.transport

import java.io.ByteArrayOutputStream

/** Buffers bytes and returns complete events; an event of more than [maxEventBytes] sets [hasOverflowed]. */
class ServerSentEventDecoder(
    private val maxEventBytes: Int = DEFAULT_MAX_EVENT_BYTES,
) {
    private val line = ByteArrayOutputStream()
    private val data = StringBuilder()

    /** Whether an event has exceeded the limit; no more events are returned then. */
    var hasOverflowed: Boolean = false
        private set

    /** Returns the data of the events that [bytes] complete. */
    fun decode(bytes: ByteArray): List<String> {
        val events = mutableListOf<String>()
        var start = 0
        while (start < bytes.size && !hasOverflowed) {
            val end = indexOfLineFeed(bytes, start)
            appendToLine(bytes, start, end)
            if (end < bytes.size && !hasOverflowed) endLine(events)
            start = end + 1
        }
        return events
    }

    private fun indexOfLineFeed(
        bytes: ByteArray,
        start: Int,
    ): Int {
        var index = start
        while (index < bytes.size && bytes[index] != LINE_FEED) index += 1
        return index
    }

    private fun appendToLine(
        bytes: ByteArray,
        start: Int,
        end: Int,
    ) {
        if (line.size() + data.length + end - start >
            maxEventBytes
        ) {
            hasOverflowed = true
        } else {
            line.write(bytes, start, end - start)
        }
    }

    private fun endLine(events: MutableList<String>) {
        val text = line.toString(Charsets.UTF_8).removeSuffix("\r")
        line.reset()
        if (text.isEmpty()) {
            if (data.isNotEmpty()) events.add(data.toString())
            data.clear()
            return
        }
        if (!text.startsWith(DATA_FIELD)) return
        if (data.isNotEmpty()) data.append('\n')
        data.append(text.removePrefix(DATA_FIELD).removePrefix(" "))
    }

    private companion object {
        const val DEFAULT_MAX_EVENT_BYTES = 1_048_576
        const val DATA_FIELD = "data:"
        const val LINE_FEED = '\n'.code.toByte()
    }
}
