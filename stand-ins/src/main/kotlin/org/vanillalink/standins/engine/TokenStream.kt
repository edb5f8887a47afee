/*
 * One made-up answer. Token number n of an answer is always the same for the same messages, so that a resumed stream
 * can be compared with a whole one.
 */
package org.vanillalink.standins.engine

import com.fasterxml.jackson.databind.JsonNode
import org.vanillalink.model.AttemptId
import org.vanillalink.standins.OK
import org.vanillalink.targets.TargetProtocol
import org.vanillalink.transport.HeaderFields
import org.vanillalink.transport.Json
import org.vanillalink.transport.ResponseWriter
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit

internal class TokenStream(
    private val attempt: AttemptId,
    body: JsonNode,
    private val skipped: Int,
    private val state: EngineState,
    private val timer: ScheduledExecutorService,
    private val answer: ResponseWriter,
    private val isSilent: () -> Boolean,
) {
    private val streamed = body.path("stream").asBoolean(false)
    private val tokens = body.path("max_tokens").asInt(DEFAULT_TOKENS)
    private val seed = body.path("messages").toString().hashCode()
    private var next = skipped

    fun begin() {
        answer.onCallerDisconnected { state.end(attempt) }
        if (streamed) {
            val headers =
                HeaderFields.of(
                    "content-type" to "text/event-stream",
                    TargetProtocol.ATTEMPT_HEADER to attempt.value,
                )
            answer.start(OK, headers)
        }
        scheduleNext()
    }

    private fun scheduleNext() {
        timer.schedule(::step, state.settings.tokenMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun step() {
        if (isSilent() || !state.isRunning(attempt)) return
        if (next >= tokens) {
            end()
            return
        }
        if (streamed && answer.isWritable) answer.write(chunk(next))
        if (!streamed || answer.isWritable) next += 1
        scheduleNext()
    }

    private fun end() {
        state.end(attempt)
        if (streamed) {
            answer.write("data: ${TargetProtocol.STREAM_END}\n\n".encodeToByteArray())
            answer.finish()
            return
        }
        answer.respond(
            OK,
            HeaderFields.of(
                TargetProtocol.ATTEMPT_HEADER to attempt.value,
                "content-type" to "application/json",
            ),
            Json.write(wholeAnswer()),
        )
    }

    private fun wholeAnswer() = mapOf(
        "id" to attempt.value,
        "object" to "chat.completion",
        "choices" to listOf(mapOf("index" to 0, "message" to message(), "finish_reason" to "stop")),
        "usage" to mapOf("completion_tokens" to tokens),
    )

    private fun message() = mapOf("role" to "assistant", "content" to (0 until tokens).joinToString("") { token(it) })

    private fun chunk(index: Int): ByteArray {
        val delta = mapOf("content" to token(index))
        val event =
            mapOf(
                "id" to attempt.value,
                "object" to "chat.completion.chunk",
                "token_index" to index,
                "choices" to listOf(mapOf("index" to 0, "delta" to delta)),
            )
        return "data: ".encodeToByteArray() + Json.write(event) + "\n\n".encodeToByteArray()
    }

    private fun token(index: Int): String = Integer.toString((seed * MULTIPLIER + index) and MASK, RADIX) + " "

    private companion object {
        const val DEFAULT_TOKENS = 16
        const val MULTIPLIER = 31
        const val MASK = 0xFFFFF
        const val RADIX = 36
    }
}
