/*
 * A strict reader of answers, independent of the repository's client.
 */
package org.vanillalink.soak.callers

import org.vanillalink.soak.record.AnswerHead
import org.vanillalink.soak.record.CallEnd
import java.io.ByteArrayOutputStream
import java.io.IOException

/** How reading an answer ended, and what came of it. */
internal class ReadAnswer(
    val end: CallEnd,
    val head: AnswerHead?,
    val isStream: Boolean,
    val body: ByteArray,
    val detail: String,
)

/** Reads one answer after the other from [input]. */
internal class AnswerReader(
    private val input: PacedInput,
) {
    private class NotHttp(
        reason: String,
    ) : Exception(reason)

    private class Ended : Exception()

    private var head: AnswerHead? = null
    private var isStream = false
    private val seen = ByteArrayOutputStream()
    private val body = ByteArrayOutputStream()

    fun read(): ReadAnswer {
        head = null
        isStream = false
        seen.reset()
        body.reset()
        input.restart()
        val place = { if (head == null) "${seen.size()} bytes of the head" else "${body.size()} bytes of the body" }
        return try {
            readAnswer()
            answer(CallEnd.WHOLE, "")
        } catch (problem: NotHttp) {
            answer(CallEnd.NOT_HTTP, "${problem.message}; ${AnswerContent.excerpt(seen.toByteArray())}")
        } catch (_: Ended) {
            answer(CallEnd.CLOSED, place())
        } catch (stop: CallerStops) {
            answer(if (stop.leaves) CallEnd.LEFT else CallEnd.GAVE_UP, place())
        } catch (failure: IOException) {
            answer(CallEnd.RESET, "${place()}, ${failure.message}")
        }
    }

    private fun answer(
        end: CallEnd,
        detail: String,
    ) = ReadAnswer(end, head, isStream, body.toByteArray(), detail)

    private fun readAnswer() {
        val statusLine = line()
        val status =
            STATUS_LINE
                .matchEntire(statusLine)
                ?.groupValues
                ?.get(1)
                ?.toInt()
                ?: throw NotHttp("status line")
        val fields = readFields()
        isStream = fields["content-type"]?.startsWith("text/event-stream") == true
        val length = fields["content-length"]?.toLongOrNull()
        val isChunked = fields["transfer-encoding"] == "chunked"
        val isLast =
            fields["connection"]?.lowercase() == "close" || (length == null && !isChunked && status !in BODILESS)
        head = AnswerHead(status, fields["request-id"], fields["response-signature"], isLast)
        when {
            status in BODILESS -> Unit
            isChunked -> readChunks()
            length != null -> readBytes(length)
            else -> readToEnd()
        }
    }

    private fun readFields(): Map<String, String> {
        val fields = HashMap<String, String>()
        while (true) {
            val line = line()
            if (line.isEmpty()) return fields
            if (!FIELD.matches(line)) throw NotHttp("field")
            val name = line.substringBefore(':').lowercase()
            val value = line.substringAfter(':').trim()
            if (fields.put(name, value) != null && name in SINGLE) throw NotHttp("$name twice")
        }
    }

    private fun readChunks() {
        while (true) {
            val size = line().substringBefore(';').toIntOrNull(HEXADECIMAL) ?: throw NotHttp("size of a chunk")
            if (size == 0) break
            readBytes(size.toLong())
            if (line().isNotEmpty()) throw NotHttp("end of a chunk")
        }
        while (line().isNotEmpty()) Unit
    }

    private fun readBytes(count: Long) {
        repeat(count.toInt()) { body.write(byte()) }
    }

    private fun readToEnd() {
        while (true) {
            val byte = input.read()
            if (byte < 0) return
            body.write(byte)
        }
    }

    private fun line(): String {
        val line = StringBuilder()
        while (true) {
            val byte = byte()
            if (byte == '\n'.code) {
                if (!line.endsWith("\r")) throw NotHttp("end of a line")
                return line.substring(0, line.length - 1)
            }
            line.append(byte.toChar())
            if (line.length > LONGEST_LINE) throw NotHttp("length of a line")
        }
    }

    private fun byte(): Int {
        val byte = input.read()
        if (byte < 0) throw Ended()
        if (seen.size() < MOST_SEEN) seen.write(byte)
        return byte
    }

    private companion object {
        const val LONGEST_LINE = 16_384
        const val MOST_SEEN = 300
        const val HEXADECIMAL = 16
        val STATUS_LINE = Regex("HTTP/1\\.1 ([2-5][0-9]{2})( [\\x20-\\x7e]*)?")
        val FIELD = Regex("[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\\x20-\\x7e\\t]*")
        val BODILESS = setOf(204, 304)
        val SINGLE =
            setOf("content-length", "transfer-encoding", "content-type", "request-id", "response-signature", "date")
    }
}
