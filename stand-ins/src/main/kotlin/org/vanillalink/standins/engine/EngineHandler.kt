/*
 * HTTP interface of the model engine stand-in. `POST /stand-in/silent` permanently stops output on all open streams,
 * while new connections still work. A prompt that contains the crash text terminates the process.
 */
package org.vanillalink.standins.engine

import com.fasterxml.jackson.databind.JsonNode
import org.vanillalink.model.AttemptId
import org.vanillalink.standins.BAD_REQUEST
import org.vanillalink.standins.NOT_FOUND
import org.vanillalink.standins.OK
import org.vanillalink.standins.sendJson
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
    private var silenceCount = 0

    override fun handle(
        request: HttpRequestMessage,
        response: ResponseWriter,
    ) {
        when {
            request.path == TargetProtocol.REPORT_PATH -> response.sendJson(state.report())
            request.path == TargetProtocol.ORDERS_PATH -> applyOrder(request, response)
            request.path == TargetProtocol.COMPLETIONS_PATH -> complete(request, response)
            request.path.startsWith(TargetProtocol.ATTEMPTS_PATH) -> cancel(request, response)
            request.path == "/stand-in/silent" -> silenceStreams(response)
            else -> response.respond(NOT_FOUND)
        }
    }

    private fun applyOrder(
        request: HttpRequestMessage,
        response: ResponseWriter,
    ) {
        val order = Json.read<OrderMessage>(request.body).getOrNull()
        if (order == null) {
            response.respond(BAD_REQUEST)
            return
        }
        val orderResponse = state.applyOrder(order)
        response.sendJson(orderResponse, if (orderResponse.taken) OK else CONFLICT)
    }

    private fun complete(
        request: HttpRequestMessage,
        response: ResponseWriter,
    ) {
        val attempt = AttemptId(request.headers[TargetProtocol.ATTEMPT_HEADER].orEmpty())
        val body = Json.read<JsonNode>(request.body).getOrNull()
        if (body == null) {
            response.respond(BAD_REQUEST)
            return
        }
        if (!state.startAttempt(attempt, expectedTarget(request))) {
            response.respond(SERVICE_UNAVAILABLE, HeaderFields.of(TargetProtocol.NOT_RUN_HEADER to attempt.value))
            return
        }
        if (CRASH_PROMPT in request.body.decodeToString()) Runtime.getRuntime().halt(CRASH_EXIT_CODE)
        val resumeFromToken = request.headers[TargetProtocol.RESUME_HEADER]?.toIntOrNull() ?: 0
        val silenceCountAtStart = silenceCount
        val stream =
            TokenStream(attempt, body, resumeFromToken, state, timer, response) { silenceCount != silenceCountAtStart }
        stream.start()
    }

    private fun cancel(
        request: HttpRequestMessage,
        response: ResponseWriter,
    ) {
        state.endAttempt(AttemptId(request.path.removePrefix(TargetProtocol.ATTEMPTS_PATH)))
        response.respond(OK)
    }

    private fun silenceStreams(response: ResponseWriter) {
        silenceCount += 1
        response.respond(OK)
    }

    private fun expectedTarget(request: HttpRequestMessage) = ExpectedTarget(
        group = request.headers[TargetProtocol.GROUP_HEADER],
        generation = request.headers[TargetProtocol.GENERATION_HEADER],
        boot = request.headers[TargetProtocol.BOOT_HEADER],
        fencingNumber = request.headers[TargetProtocol.FENCING_HEADER]?.toLongOrNull(),
    )

    private companion object {
        const val CONFLICT = 409
        const val SERVICE_UNAVAILABLE = 503
        const val CRASH_EXIT_CODE = 4
        const val CRASH_PROMPT = "crash the engine"
    }
}
