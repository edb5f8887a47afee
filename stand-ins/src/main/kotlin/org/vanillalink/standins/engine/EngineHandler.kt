/*
 * The HTTP interface of an engine's stand-in. `POST /stand-in/silent` makes all open streams go silent for good, while
 * new connections work. A prompt that contains the crash text ends the process.
 */
package org.vanillalink.standins.engine

import com.fasterxml.jackson.databind.JsonNode
import org.vanillalink.model.AttemptId
import org.vanillalink.standins.BAD_REQUEST
import org.vanillalink.standins.NOT_FOUND
import org.vanillalink.standins.OK
import org.vanillalink.standins.answerJson
import org.vanillalink.targets.OrderMessage
import org.vanillalink.targets.TargetProtocol
import org.vanillalink.transport.HeaderFields
import org.vanillalink.transport.HttpRequestHandler
import org.vanillalink.transport.HttpRequestMessage
import org.vanillalink.transport.Json
import org.vanillalink.transport.ResponseWriter
import org.vanillalink.transport.read
import java.util.concurrent.Executors

internal class EngineHandler(
    private val state: EngineState,
) : HttpRequestHandler {
    private val timer = Executors.newSingleThreadScheduledExecutor { task -> Thread(task).apply { isDaemon = true } }

    @Volatile
    private var silentGeneration = 0

    override fun handle(
        request: HttpRequestMessage,
        response: ResponseWriter,
    ) {
        when {
            request.path == TargetProtocol.REPORT_PATH -> response.answerJson(state.report())
            request.path == TargetProtocol.ORDERS_PATH -> order(request, response)
            request.path == TargetProtocol.COMPLETIONS_PATH -> complete(request, response)
            request.path.startsWith(TargetProtocol.ATTEMPTS_PATH) -> cancel(request, response)
            request.path == "/stand-in/silent" -> goSilent(response)
            else -> response.respond(NOT_FOUND)
        }
    }

    private fun order(
        request: HttpRequestMessage,
        answer: ResponseWriter,
    ) {
        val order = Json.read<OrderMessage>(request.body).getOrNull()
        if (order == null) {
            answer.respond(BAD_REQUEST)
            return
        }
        val result = state.take(order)
        answer.answerJson(result, if (result.taken) OK else CONFLICT)
    }

    private fun complete(
        request: HttpRequestMessage,
        answer: ResponseWriter,
    ) {
        val attempt = AttemptId(request.headers[TargetProtocol.ATTEMPT_HEADER].orEmpty())
        val body = Json.read<JsonNode>(request.body).getOrNull()
        if (body == null) {
            answer.respond(BAD_REQUEST)
            return
        }
        if (!state.begin(attempt, expectedTarget(request))) {
            answer.respond(UNAVAILABLE, HeaderFields.of(TargetProtocol.NOT_RUN_HEADER to attempt.value))
            return
        }
        if (CRASH_TEXT in request.body.decodeToString()) Runtime.getRuntime().halt(CRASHED)
        val skipped = request.headers[TargetProtocol.RESUME_HEADER]?.toIntOrNull() ?: 0
        val silentAtStart = silentGeneration
        val stream =
            TokenStream(attempt, body, skipped, state, timer, answer) { silentGeneration != silentAtStart }
        stream.begin()
    }

    private fun cancel(
        request: HttpRequestMessage,
        answer: ResponseWriter,
    ) {
        state.end(AttemptId(request.path.removePrefix(TargetProtocol.ATTEMPTS_PATH)))
        answer.respond(OK)
    }

    private fun goSilent(answer: ResponseWriter) {
        silentGeneration += 1
        answer.respond(OK)
    }

    private fun expectedTarget(request: HttpRequestMessage) = ExpectedTarget(
        group = request.headers[TargetProtocol.GROUP_HEADER],
        generation = request.headers[TargetProtocol.GENERATION_HEADER],
        boot = request.headers[TargetProtocol.BOOT_HEADER],
        fencingNumber = request.headers[TargetProtocol.FENCING_HEADER]?.toLongOrNull(),
    )

    private companion object {
        const val CONFLICT = 409
        const val UNAVAILABLE = 503
        const val CRASHED = 4
        const val CRASH_TEXT = "crash the engine"
    }
}
