/*
 * What a request asks a stand-in to answer, in made-up header fields that a daemon forwards unchanged. The content
 * names the target and the request, so that a mixture of two answers shows.
 */
package org.vanillalink.standins.runner

import org.vanillalink.transport.HeaderFields

/** The [status], the length of the body, and the time until the answer or from event to event. */
data class RequestedAnswer(
    val status: Int,
    val bodyBytes: Int,
    val milliseconds: Long,
) {
    /** The header fields that ask for this answer. */
    fun fields(): Map<String, String> =
        mapOf(STATUS to "$status", BODY_BYTES to "$bodyBytes", MILLISECONDS to "$milliseconds")

    companion object {
        /** The body of a request that crashes the target that runs it, where the test has targets do so. */
        const val DEADLY_BODY = "deadly"

        private const val STATUS = "answer-status"
        private const val BODY_BYTES = "answer-body-bytes"
        private const val MILLISECONDS = "answer-milliseconds"

        /** Returns what [headers] ask for, or null if they ask for nothing. */
        fun of(headers: HeaderFields): RequestedAnswer? = headers[STATUS]?.toIntOrNull()?.let {
            RequestedAnswer(
                it,
                headers[BODY_BYTES]?.toIntOrNull() ?: 0,
                headers[MILLISECONDS]?.toLongOrNull() ?: 0,
            )
        }

        /** The signature of [target]'s answers to the request [id]. */
        fun signature(
            target: String,
            id: String,
        ): String = "$target.$id"

        /** The body of [target]'s answer to the request [id], of [size] bytes. */
        fun body(
            target: String,
            id: String,
            size: Int,
        ): ByteArray {
            val text = StringBuilder()
            var line = 0
            while (text.length < size) text.append("${signature(target, id)}.${line++}\n")
            return text.substring(0, size).toByteArray()
        }

        /** The data of event [number] of [target]'s answer to the request [id]. */
        fun eventData(
            target: String,
            id: String,
            number: Int,
        ): String = "${signature(target, id)}.$number"
    }
}
