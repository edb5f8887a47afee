/*
 * One generated response. Token n is always the same for the same messages, so that a resumed stream can be compared
 * with an uninterrupted one.
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
    private val resumeFromToken: Int,
    private val state: EngineState,
    private val timer: ScheduledExecutorService,
    private val response: ResponseWriter,
    private val isSilent: () -> Boolean,
) {
    private val isStreaming = body.path("stream").asBoolean(false)
    private val count = body.path("max_tokens").asInt(DEFAULT_TOKENS)
    private val seed = body.path("messages").toString().hashCode()
    private var nextToken = resumeFromToken

    fun start() {
        response.onCallerDisconnected { state.endAttempt(attempt) }
        if (isStreaming) {
            val headers =
                HeaderFields.of(
                    "content-type" to "text/event-stream",
                    TargetProtocol.ATTEMPT_HEADER to attempt.value,
                )
            response.start(OK, headers)
        }
        scheduleNext()
    }

    private fun scheduleNext() {
        timer.schedule(::emitToken, state.settings.tokenMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun emitToken() {
        if (isSilent() || !state.isRunning(attempt)) return
        if (nextToken >= count) {
            finish()
            return
        }
        if (isStreaming && response.isWritable) response.write(chunk(nextToken))
        if (!isStreaming || response.isWritable) nextToken += 1
        scheduleNext()
    }

    private fun finish() {
        state.endAttempt(attempt)
        if (isStreaming) {
            response.write("data: ${TargetProtocol.STREAM_END}\n\n".encodeToByteArray())
            response.finish()
            return
        }
        response.respond(
            OK,
            HeaderFields.of(
                TargetProtocol.ATTEMPT_HEADER to attempt.value,
                "content-type" to "application/json",
            ),
            Json.write(completion()),
        )
    }

    private fun completion() = mapOf(
        "id" to attempt.value,
        "object" to "chat.completion",
        "choices" to listOf(mapOf("index" to 0, "message" to message(), "finish_reason" to "stop")),
        "usage" to mapOf("completion_tokens" to count),
    )

    private fun message() = mapOf("role" to "assistant", "content" to (0 until count).joinToString("") { token(it) })

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
