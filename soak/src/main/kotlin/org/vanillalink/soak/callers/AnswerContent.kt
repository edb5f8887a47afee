/*
 * Whose answer the bytes of a body are.
 */
package org.vanillalink.soak.callers

import org.vanillalink.soak.record.Content
import org.vanillalink.soak.record.Piece
import org.vanillalink.standins.runner.RequestedAnswer

/** Describes bodies; the stand-ins' content names its target, its request and its place. */
object AnswerContent {
    private const val LONGEST_EXCERPT = 120
    private const val EVENT_END = "\n\n"
    private val EVENT = Regex("id: ([0-9]+)\ndata: (.+)\\.([0-9]+)")

    /** Describes the [body] of a target's answer that isn't a stream. */
    fun ofPlain(body: ByteArray): Content {
        if (body.isEmpty()) return Content()
        val firstLine = String(body, 0, minOf(body.size, LONGEST_EXCERPT)).substringBefore('\n')
        val target = firstLine.substringBefore('.')
        val id = firstLine.substringAfter('.', "").substringBefore('.')
        val isWhole = RequestedAnswer.body(target, id, body.size).contentEquals(body)
        val problem = "not the body of one answer: ${excerpt(body)}".takeUnless { isWhole }
        return Content(body.size, listOf(Piece(RequestedAnswer.signature(target, id), 0, 0)), problem)
    }

    /** Describes the [body] of a stream; a part of an event at its end is a problem if [isWhole]. */
    fun ofStream(
        body: ByteArray,
        isWhole: Boolean,
    ): Content {
        val text = String(body)
        val events = text.split(EVENT_END)
        val pieces = mutableListOf<Piece>()
        var problem: String? = null
        for (event in events.dropLast(1)) {
            val match = EVENT.matchEntire(event)
            if (match == null) {
                problem = problem ?: "no event of one answer: ${excerpt(event.toByteArray())}"
            } else {
                val (id, signature, number) = match.destructured
                if (id != number) problem = problem ?: "event $id has the data of event $number"
                append(pieces, signature, number.toInt())
            }
        }
        if (isWhole && events.last().isNotEmpty()) {
            problem = problem ?: "ends within an event: ${excerpt(events.last().toByteArray())}"
        }
        return Content(body.size, pieces, problem)
    }

    private fun append(
        pieces: MutableList<Piece>,
        signature: String,
        number: Int,
    ) {
        val last = pieces.lastOrNull()
        if (last != null && last.signature == signature && last.last + 1 == number) {
            pieces[pieces.lastIndex] = last.copy(last = number)
        } else {
            pieces += Piece(signature, number, number)
        }
    }

    /** The beginning of [bytes] on one line. */
    fun excerpt(bytes: ByteArray): String =
        String(bytes.copyOf(minOf(bytes.size, LONGEST_EXCERPT)), Charsets.ISO_8859_1)
            .replace("\r", "\\r")
            .replace("\n", "\\n")
}
