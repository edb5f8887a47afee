/*
 * Splits a stream of server-sent events into complete events, unchanged byte for byte, and reads their ids.
 */
package org.vanillalink.gateway.traffic

import org.vanillalink.transport.BodyOverflow
import org.vanillalink.transport.HeldBody
import org.vanillalink.transport.MemoryBudget

/**
 * Complete events as received, with their numeric [ids] in order. [hasForeignText] is whether there is text among them
 * that is neither an event with an id nor a comment, such as an error of the target.
 */
internal class CompleteEvents(
    val bytes: ByteArray,
    val ids: List<Long>,
    val hasForeignText: Boolean,
)

/** Buffers the incomplete event at the end of the stream, in [memory]; [onRevoked] is called when others need that. */
internal class EventSplitter(
    memory: MemoryBudget = MemoryBudget.unlimited(),
    onRevoked: () -> Unit = {},
) {
    private val pending = HeldBody(memory, MAX_EVENT_BYTES) { onRevoked() }
    private var lastByte: Byte? = null
    private var secondLastByte: Byte? = null

    /** Why the incomplete event could not be buffered, or null. */
    var overflow: BodyOverflow? = null
        private set

    /** Whether the incomplete event exceeds the size limit. */
    val isTooLarge: Boolean get() = overflow == BodyOverflow.TOO_LARGE

    /** Whether an incomplete event is buffered. */
    val isMidEvent: Boolean get() = pending.size > 0

    /**
     * Appends [chunk] and returns the events that it completes, or null where it completes none. Only the chunk is
     * searched: what is buffered ends no event, so the work doesn't grow with the size of an event.
     */
    fun append(chunk: ByteArray): CompleteEvents? {
        val completeLength = endOfLastEvent(chunk)
        if (completeLength == 0) {
            buffer(chunk, from = 0)
            return null
        }
        val isWhole = pending.size == 0 && completeLength == chunk.size
        val events = if (isWhole) chunk else pending.toByteArray() + chunk.copyOf(completeLength)
        release()
        buffer(chunk, completeLength)
        return readEvents(events)
    }

    /** Discards the incomplete event. */
    fun release() {
        pending.release()
        lastByte = null
        secondLastByte = null
    }

    private fun buffer(
        chunk: ByteArray,
        from: Int,
    ) {
        val added = chunk.size - from
        if (added == 0) return
        overflow = pending.append(chunk, from)
        secondLastByte = if (added > 1) chunk[chunk.size - 2] else lastByte
        lastByte = chunk.last()
    }

    /** Returns the length of the part of [chunk] that completes events. */
    private fun endOfLastEvent(chunk: ByteArray): Int {
        var index = chunk.size - 1
        while (index >= 0) {
            if (chunk[index] == LINE_FEED && endsEvent(byteAt(chunk, index - 1), byteAt(chunk, index - 2))) {
                return index + 1
            }
            index -= 1
        }
        return 0
    }

    /** Whether a line feed after [previous] and, before that, [beforePrevious] ends an empty line. */
    private fun endsEvent(
        previous: Byte?,
        beforePrevious: Byte?,
    ): Boolean = previous == LINE_FEED || (previous == CARRIAGE_RETURN && beforePrevious == LINE_FEED)

    /** The byte of [chunk] at [index], which is negative for the last two buffered bytes before it. */
    private fun byteAt(
        chunk: ByteArray,
        index: Int,
    ): Byte? = when {
        index >= 0 -> chunk[index]
        index == -1 -> lastByte
        else -> secondLastByte
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
