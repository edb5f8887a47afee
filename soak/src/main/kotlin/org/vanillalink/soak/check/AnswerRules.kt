/*
 * MIXED and ORDER: an answer is its target's, whole, and its own request's.
 */
package org.vanillalink.soak.check

import org.vanillalink.soak.record.Call
import org.vanillalink.soak.record.CallEnd
import org.vanillalink.soak.record.CallKind
import org.vanillalink.standins.runner.RequestedAnswer

/** The rules on answers. */
internal class AnswerRules(
    private val index: RecordingIndex,
) {
    fun findings(): List<Finding> = index.recording.calls.flatMap(::check) + unaskedBytes()

    private fun unaskedBytes() = index.recording.unaskedBytes.map {
        Finding("MIXED", it.atMs, it.path.daemon, null, null, "bytes while no request waits", "${it.text} ${it.path}")
    }

    private fun check(call: Call): List<Finding> {
        val mixed = mixture(call)
        val disorder = if (call.request.kind == CallKind.STREAM && mixed == null) disorder(call) else null
        return listOfNotNull(
            mixed?.let { index.finding("MIXED", call, it) },
            disorder?.let { index.finding("ORDER", call, it) },
        )
    }

    private fun mixture(call: Call): String? {
        if (call.end == CallEnd.NOT_HTTP) {
            return "bytes that are no answer: ${call.detail}".takeUnless { isBrokenOff(call) }
        }
        val head = call.head ?: return null
        val isSuccess = head.status in SUCCESSES
        val signature = head.signature
        return when {
            head.requestId != null && head.requestId != call.id -> {
                "the answer to ${head.requestId}"
            }

            isSuccess && signature == null -> {
                "a success without a signature"
            }

            signature == null -> {
                null
            }

            signature.substringAfter('.') != call.id -> {
                "the signature $signature of another request"
            }

            head.status != call.request.answer.status -> {
                "status ${head.status} where the target gave ${call.request.answer.status}"
            }

            !ranAt(call, signature.substringBefore('.')) -> {
                "the signature $signature of a target that has not run it"
            }

            call.end == CallEnd.WHOLE -> {
                wrongBody(call, signature)
            }

            else -> {
                foreignPiece(call)
            }
        }
    }

    private fun isBrokenOff(call: Call) = index.faultsOf(call).any { it.kind.breaksOff }

    private fun ranAt(
        call: Call,
        target: String,
    ) = index.runs[call.id].orEmpty().any { it.target == target }

    private fun wrongBody(
        call: Call,
        signature: String,
    ): String? {
        if (call.request.kind == CallKind.STREAM && call.head?.status in SUCCESSES) return foreignPiece(call)
        val expected = call.request.answer.bodyBytes
        return when {
            call.content.problem != null -> call.content.problem
            call.content.bytes != expected -> "a body of ${call.content.bytes} bytes instead of $expected"
            call.content.pieces.any { it.signature != signature } -> "the body of ${call.content.pieces}"
            else -> null
        }
    }

    private fun foreignPiece(call: Call): String? = call.content.pieces
        .firstOrNull { it.signature.substringAfter('.') != call.id }
        ?.let { "a piece of ${it.signature}" }

    private fun disorder(call: Call): String? {
        if (call.head?.status !in SUCCESSES) return null
        call.content.problem?.let { return it }
        var next = 0
        var signature: String? = call.head?.signature
        for (piece in call.content.pieces) {
            if (piece.first != next) return "event ${piece.first} where $next is due"
            if (piece.signature != signature && !isResumed(call, piece.signature, next)) {
                return "event $next of $signature is followed by one of ${piece.signature}, which did not go on there"
            }
            signature = piece.signature
            next = piece.last + 1
        }
        val isShort = call.end == CallEnd.WHOLE && next != call.request.events
        return if (isShort) "complete after $next of ${call.request.events} events" else null
    }

    private fun isResumed(
        call: Call,
        signature: String,
        next: Int,
    ): Boolean = index.runs[call.id].orEmpty().any {
        RequestedAnswer.signature(it.target, call.id) == signature && (it.lastEventId ?: -1) + 1 == next
    }

    private companion object {
        val SUCCESSES = 200..299
    }
}
