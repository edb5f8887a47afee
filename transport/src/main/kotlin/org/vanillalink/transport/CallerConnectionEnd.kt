/*
 * How the connections of callers end, for logs and metrics.
 */
package org.vanillalink.transport

/** Why a connection ended; [label] stands in logs and metrics. */
enum class CallerConnectionEndReason(
    val label: String,
) {
    /** The caller closed the connection. */
    CALLER_CLOSED("caller-closed"),

    /** The connection failed: mostly a reset by the caller. */
    CONNECTION_FAILED("connection-failed"),

    /** The server closed the connection after its last response. */
    RESPONSE_ENDED("response-ended"),

    /** The server could not complete a response that had started. */
    RESPONSE_ABORTED("response-aborted"),

    /** What the caller sent could not be read as a request or exceeded a limit. */
    REQUEST_INVALID("request-invalid"),

    /** The server drains, and the connection had no request. */
    DRAINED("drained"),

    /** Nothing was sent for the idle timeout. */
    IDLE("idle"),

    /** The caller did not close the connection in time after the server's last byte, which it may not have read. */
    NOT_CLOSED_BY_CALLER("not-closed-by-caller"),

    /** The caller sent too much after the server's last byte. */
    CALLER_KEEPS_SENDING("caller-keeps-sending"),

    /** Too many connections waited for their callers to close them. */
    TOO_MANY_LINGERING("too-many-lingering"),

    /** The caller has not read its responses, and others needed the memory that they took. */
    RESPONSES_UNREAD("responses-unread"),

    /** The server had as many connections as it may have. */
    TOO_MANY_CONNECTIONS("too-many-connections"),

    /** The server was closed. */
    SERVER_CLOSED("server-closed"),
}

/** What was left when a connection ended for [reason]. */
data class CallerConnectionEnd(
    val reason: CallerConnectionEndReason,
    /** Whether a request that was passed to the handler had no complete response. */
    val isResponseIncomplete: Boolean = false,
    /** How many requests waited for their turn. */
    val queuedRequests: Int = 0,
    /** Whether part of a request had been received. */
    val isRequestIncomplete: Boolean = false,
    /** What the caller sent that was not decoded, since the connection was being closed. */
    val discardedBytes: Long = 0,
    /** The id that the handler gave the request without a complete response; null if there is none. */
    val incompleteRequestId: String? = null,
) {
    /** Whether nothing was left of the caller or for the caller. */
    val isClean: Boolean
        get() =
            !isResponseIncomplete && queuedRequests == 0 && !isRequestIncomplete && discardedBytes == 0L &&
                reason !in REASONS_TO_EXPLAIN

    private companion object {
        val REASONS_TO_EXPLAIN =
            setOf(
                CallerConnectionEndReason.NOT_CLOSED_BY_CALLER,
                CallerConnectionEndReason.CALLER_KEEPS_SENDING,
                CallerConnectionEndReason.TOO_MANY_LINGERING,
                CallerConnectionEndReason.TOO_MANY_CONNECTIONS,
            )
    }
}

/** Is told how connections of callers end, on their event loops. */
fun interface CallerConnectionListener {
    fun onEnded(end: CallerConnectionEnd)
}
