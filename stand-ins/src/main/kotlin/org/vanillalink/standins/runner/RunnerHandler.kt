/*
 * A runner's published HTTP protocol: reports, orders, health, and requests with signed answers or streams of events.
 */
package org.vanillalink.standins.runner

import com.fasterxml.jackson.databind.JsonNode
import org.vanillalink.standins.BAD_REQUEST
import org.vanillalink.standins.OK
import org.vanillalink.standins.answerJson
import org.vanillalink.transport.HeaderFields
import org.vanillalink.transport.HttpRequestHandler
import org.vanillalink.transport.HttpRequestMessage
import org.vanillalink.transport.Json
import org.vanillalink.transport.ResponseWriter
import org.vanillalink.transport.read
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** Ways to misbehave. */
enum class RunnerTrouble {
    NONE,

    /** Takes requests and says nothing; nor does it answer questions or orders. */
    DARK,

    /** Breaks streams off in the middle of an event. */
    TORN,

    /** Answers with another request's id. */
    CROSSED,

    /** Answers without the id of the request, as a copy of an older answer might. */
    UNNAMED,

    /** Says that it is full. */
    FULL,

    /** Says that it is full and wants no requests for a while. */
    RESTING,

    /** Says in each answer that it leaves, and never in its entry. */
    LEAVING_UNLISTED,
}

/** Serves one runner. [changed] is called when its entry has changed. */
class RunnerHandler(
    private val settings: RunnerSettings,
    private val state: RunnerState,
    private val changed: () -> Unit = {},
) : HttpRequestHandler {
    private val timer = Executors.newSingleThreadScheduledExecutor { Thread(it, settings.id).apply { isDaemon = true } }

    /** How it misbehaves now. */
    @Volatile
    var trouble = RunnerTrouble.NONE

    /** The ids of the requests that ran here. */
    val ran = CopyOnWriteArrayList<String>()

    /** The ids of the requests that were turned away with a time to rest. */
    val turnedAway = CopyOnWriteArrayList<String>()

    /** The ids of the requests whose caller left before their answer was whole. */
    val abandoned = CopyOnWriteArrayList<String>()

    /** The last request that ran here. */
    @Volatile
    var lastRequest: HttpRequestMessage? = null

    override fun handle(
        request: HttpRequestMessage,
        response: ResponseWriter,
    ) {
        if (trouble == RunnerTrouble.DARK) return
        val expected = request.headers["expect-instance"]
        when {
            expected != null && expected != settings.id -> {
                response.respond(
                    MISDIRECTED,
                    HeaderFields.of("instance-id" to settings.id),
                )
            }

            request.path == "/api/report" -> {
                response.answerJson(state.report())
            }

            request.path == "/api/order" -> {
                order(request, response)
            }

            request.path == "/health" -> {
                response.respond(OK, HeaderFields.of("instance-id" to settings.id))
            }

            !state.takesRequests() -> {
                response.respond(MISDIRECTED, HeaderFields.of("instance-id" to settings.id))
            }

            trouble == RunnerTrouble.FULL -> {
                response.respond(UNAVAILABLE, HeaderFields.of("not-executed" to "1"))
            }

            trouble == RunnerTrouble.RESTING -> {
                turnedAway += request.headers["request-id"].orEmpty()
                response.respond(UNAVAILABLE, HeaderFields.of("not-executed" to "1", "retry-after" to REST_SECONDS))
            }

            else -> {
                run(request, response)
            }
        }
    }

    private fun order(
        request: HttpRequestMessage,
        answer: ResponseWriter,
    ) {
        val order = Json.read<JsonNode>(request.body).getOrNull()
        answer.respond(if (order == null) BAD_REQUEST else state.order(order))
        changed()
        val settled = settings.joinMilliseconds + settings.openMilliseconds
        timer.schedule(changed, settings.joinMilliseconds, TimeUnit.MILLISECONDS)
        timer.schedule(changed, settled, TimeUnit.MILLISECONDS)
    }

    private fun run(
        request: HttpRequestMessage,
        answer: ResponseWriter,
    ) {
        val id = request.headers["request-id"].orEmpty()
        ran += id
        answer.onCallerDisconnected { abandoned += id }
        lastRequest = request
        val echoed = if (trouble == RunnerTrouble.CROSSED) "another" else id
        var fields = HeaderFields.of("request-id" to echoed, "response-signature" to "${settings.id}.$id")
        if (trouble == RunnerTrouble.UNNAMED) fields = fields.without(setOf("request-id"))
        if (trouble == RunnerTrouble.LEAVING_UNLISTED) fields = fields.with("server-leaving", "1")
        val tokens = request.headers["token-usage"]
        if (tokens == null) {
            answer.respond(OK, fields, request.body)
            return
        }
        val events = tokens.substringAfter(',').trim().toInt()
        val first = (request.headers["last-event-id"]?.toInt() ?: -1) + 1
        answer.start(OK, fields.with("content-type", "text/event-stream"))
        next(answer, first, events)
    }

    private fun next(
        answer: ResponseWriter,
        event: Int,
        events: Int,
    ) {
        if (trouble == RunnerTrouble.DARK) return
        if (event >= events) {
            answer.finish()
            return
        }
        if (trouble == RunnerTrouble.TORN && event == events / 2) {
            answer.write("id: $event\nda".toByteArray())
            answer.abort()
            return
        }
        answer.write("id: $event\ndata: token-$event\n\n".toByteArray())
        timer.schedule({ next(answer, event + 1, events) }, settings.tokenMilliseconds, TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val MISDIRECTED = 421
        const val UNAVAILABLE = 503

        /** Longer than a test's requests take. */
        const val REST_SECONDS = "30.5"
    }
}
