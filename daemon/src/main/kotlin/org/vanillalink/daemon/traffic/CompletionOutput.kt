/*
 * What the caller of a chat completion has got so far. Over all attempts each token is given once and in order.
 */
package org.vanillalink.daemon.traffic

import com.fasterxml.jackson.databind.node.ObjectNode
import org.vanillalink.model.Refusal
import org.vanillalink.model.RefusalReason
import org.vanillalink.model.RequestId
import org.vanillalink.targets.TargetProtocol
import org.vanillalink.transport.HeaderFields
import org.vanillalink.transport.Json
import org.vanillalink.transport.ProblemDetails
import org.vanillalink.transport.ResponseWriter
import org.vanillalink.transport.refuse

internal class CompletionOutput(
    private val request: RequestId,
    private val streamed: Boolean,
    private val answer: ResponseWriter,
    private val chunkId: String,
) {
    private val text = StringBuilder()
    private var started = false

    /** Gives the next token. */
    fun give(chunk: ObjectNode) {
        if (streamed) write(chunk) else text.append(content(chunk))
    }

    /** Ends the answer of [tokens] tokens as whole. */
    fun complete(tokens: Long) {
        if (!streamed) {
            val headers = HeaderFields.of("content-type" to "application/json", requestField())
            answer.respond(OK, headers, Json.write(wholeAnswer(tokens)))
            return
        }
        start()
        answer.write("data: ${TargetProtocol.STREAM_END}\n\n".encodeToByteArray())
        answer.finish()
    }

    /** Gives the target's own final answer. */
    fun completeWith(final: CollectedAnswer) {
        val headers = final.headers.without(ForwardTarget.HOP_HEADERS + TargetProtocol.ATTEMPT_HEADER)
        answer.respond(final.status, headers.with(CallerProtocol.REQUEST_HEADER, request.value), final.body)
    }

    /** A stream that has begun is told of the refusal as its last event, and cut without its end marker. */
    fun refuse(refusal: Refusal) {
        if (!started) {
            answer.refuse(refusal, request.value)
            return
        }
        val failed = refusal.reason == RefusalReason.TARGET_FAILED
        val told = if (failed) refusal.copy(reason = RefusalReason.ANSWER_INCOMPLETE) else refusal
        val event = mapOf("error" to ProblemDetails.from(told, request.value))
        answer.write("data: ".encodeToByteArray() + Json.write(event) + EVENT_END)
        answer.abort()
    }

    private fun write(chunk: ObjectNode) {
        start()
        chunk.put("id", chunkId)
        answer.write("data: ".encodeToByteArray() + Json.write(chunk) + EVENT_END)
    }

    private fun start() {
        if (started) return
        started = true
        answer.start(OK, HeaderFields.of("content-type" to "text/event-stream", requestField()))
    }

    private fun requestField() = CallerProtocol.REQUEST_HEADER to request.value

    private fun content(chunk: ObjectNode): String = chunk
        .path("choices")
        .path(0)
        .path("delta")
        .path("content")
        .asText("")

    private fun wholeAnswer(tokens: Long) = mapOf(
        "id" to request.value,
        "object" to "chat.completion",
        "choices" to listOf(choice()),
        "usage" to mapOf("completion_tokens" to tokens),
    )

    private fun choice() = mapOf(
        "index" to 0,
        "message" to mapOf("role" to "assistant", "content" to text.toString()),
        "finish_reason" to "stop",
    )

    private companion object {
        const val OK = 200
        val EVENT_END = "\n\n".encodeToByteArray()
    }
}
