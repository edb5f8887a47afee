/*
 * What a caller sent and saw.
 */
package org.vanillalink.soak.record

import org.vanillalink.standins.runner.RequestedAnswer

/** What kind of request a call is, and what may be repeated. */
enum class CallKind(
    val isRepeatable: Boolean,
) {
    STREAM(true),
    ORDER(false),
    LOOKUP(true),
}

/** How a call ended for its caller. */
enum class CallEnd {
    /** The answer came whole, as far as its framing says. */
    WHOLE,

    /** The connection ended in good order, or was reset, before the answer was whole. */
    CLOSED,
    RESET,

    /** What came was no answer. */
    NOT_HTTP,

    /** The caller left before the answer was whole. */
    LEFT,

    /** The caller gave up at its deadline. */
    GAVE_UP,

    /** The request could not be written whole, since the connection had ended. */
    NOT_SENT,
}

/** Events [first] to [last] of an answer, which one target wrote for one request; [isWhole] if each was whole. */
data class Piece(
    val signature: String,
    val first: Int,
    val last: Int,
)

/** What the body of an answer consists of. [problem] says what is wrong with it by itself, if anything is. */
data class Content(
    val bytes: Int = 0,
    val pieces: List<Piece> = emptyList(),
    val problem: String? = null,
)

/** The head of an answer. [isLast] if it says that the connection closes after it. */
data class AnswerHead(
    val status: Int,
    val requestId: String?,
    val signature: String?,
    val isLast: Boolean,
)

/** Where a call was sent: the daemon, its [start] (1 is the first), the connection and the position on it. */
data class CallPath(
    val daemon: String,
    val start: Int,
    val connection: Int,
    val position: Int,
)

/** A request as it was sent. */
data class SentRequest(
    val id: String,
    val kind: CallKind,
    val method: String,
    val target: String,
    val bodyHash: Int,
    val answer: RequestedAnswer,
    val events: Int,
    val deadlineMilliseconds: Long,
    val routeTimeoutMilliseconds: Long,
    val hasKey: Boolean,
)

/**
 * A call from its caller's view. Times are milliseconds since the start of the run; [sentMs] is when the last byte was
 * written, [lastByteMs] when the last byte of an answer came.
 */
data class Call(
    val request: SentRequest,
    val path: CallPath,
    val startedMs: Long,
    val sentMs: Long,
    val firstByteMs: Long?,
    val endedMs: Long,
    val end: CallEnd,
    val head: AnswerHead? = null,
    val content: Content = Content(),
    val detail: String = "",
    val style: String = "",
) {
    val id: String get() = request.id

    /** Whether the connection ended, other than by its caller, before the answer was whole. */
    val isCut: Boolean get() = end == CallEnd.CLOSED || end == CallEnd.RESET || end == CallEnd.NOT_SENT

    val isSuccess: Boolean get() = end == CallEnd.WHOLE && head != null && head.status in SUCCESSES

    private companion object {
        val SUCCESSES = 200..299
    }
}

/** Bytes that came on a connection on which no request waited. */
data class UnaskedBytes(
    val path: CallPath,
    val atMs: Long,
    val text: String,
)
