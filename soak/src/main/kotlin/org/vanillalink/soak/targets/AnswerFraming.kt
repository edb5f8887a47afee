/*
 * Where an answer ends, seen only as bytes.
 */
package org.vanillalink.soak.targets

/** Follows the bytes of one answer with a length or in chunks; keeps its first [KEPT_BYTES]. */
internal class AnswerFraming {
    private val kept = java.io.ByteArrayOutputStream()
    private var tail = ByteArray(0)
    private var bodyLength = -1L

    /** The number of bytes so far. */
    var size = 0L
        private set

    /** The length of the head with the empty line, or 0 while it isn't whole. */
    var headLength = 0
        private set

    /** Whether all of the answer has come. */
    val isWhole: Boolean
        get() =
            headLength > 0 &&
                if (bodyLength >= 0) size >= headLength + bodyLength else tail.contentEquals(LAST_CHUNK)

    /** The bytes that were kept. */
    fun bytes(): ByteArray = kept.toByteArray()

    fun add(bytes: ByteArray) {
        size += bytes.size
        if (kept.size() < KEPT_BYTES) kept.write(bytes, 0, minOf(bytes.size, KEPT_BYTES - kept.size()))
        tail = (tail + bytes.takeLast(LAST_CHUNK.size)).takeLast(LAST_CHUNK.size).toByteArray()
        if (headLength == 0) readHead()
    }

    private fun readHead() {
        val text = kept.toString(Charsets.ISO_8859_1)
        val end = text.indexOf(HEAD_END)
        if (end < 0) return
        headLength = end + HEAD_END.length
        bodyLength = LENGTH
            .find(text.substring(0, end))
            ?.groupValues
            ?.get(1)
            ?.toLong() ?: -1
    }

    companion object {
        private const val KEPT_BYTES = 65_536
        private const val HEAD_END = "\r\n\r\n"
        private val LAST_CHUNK = "0\r\n\r\n".toByteArray()
        private val LENGTH = Regex("(?im)^content-length: *([0-9]+)")
    }
}
