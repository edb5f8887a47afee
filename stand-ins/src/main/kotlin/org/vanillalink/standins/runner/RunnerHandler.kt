/*
 * HTTP interface of a runner, following its published protocol: reports, orders, health, and requests with signed
 * responses or event streams.
 */
package org.vanillalink.standins.runner

import com.fasterxml.jackson.databind.JsonNode
import org.vanillalink.standins.BAD_REQUEST
import org.vanillalink.standins.OK
import org.vanillalink.standins.sendJson
import org.vanillalink.transport.HeaderFields
import org.vanillalink.transport.HttpRequestHandler
import org.vanillalink.transport.HttpRequestMessage
import org.vanillalink.transport.Json
import org.vanillalink.transport.ResponseWriter
import org.vanillalink.transport.read
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** Faults that can be injected. */
enum class RunnerFault {
    NONE,

    /** Accepts requests but responds to nothing, including report requests and orders. */
    DARK,

    /** Holds back all responses, to reports and orders too, and goes on where it was once the fault has ended. */
    SILENT,

    /** Holds back the events of its streams, and goes on where it was once the fault has ended. */
    SILENT_STREAMS,

    /** Aborts streams in the middle of an event. */
    TORN,

    /** Responds with the id of another request. */
    CROSSED,

    /** Responds without a request id, as a duplicate of an earlier response might. */
    UNNAMED,

    /** Rejects requests as over capacity. */
    FULL,

    /** Rejects requests as over capacity, with a retry-after time. */
    RESTING,

    /** Announces in each response that it is leaving, but not in its registry entry. */
    LEAVING_UNLISTED,
}

/** Serves one runner. [onEntryChanged] is called when its registry entry has changed. */
class RunnerHandler(
    private val settings: RunnerSettings,
    private val state: RunnerState,
    private val onEntryChanged: () -> Unit = {},
) : HttpRequestHandler {
    private val timer = Executors.newSingleThreadScheduledExecutor { Thread(it, settings.id).apply { isDaemon = true } }

    /** The injected fault. */
    @Volatile
    var fault = RunnerFault.NONE

    /** The limit that the runner names in its responses as the requests per second that it takes, or null. */
    @Volatile
    var namedLimit: String? = null

    /** A part of a prompt that crashes the runner when it begins to answer a request with it, or null. */
    @Volatile
    var deadlyPromptPart: String? = null

    /** How often the runner has crashed by [deadlyPromptPart]. */
    val crashes = AtomicInteger()

    /** Called with the id of each request that ends because the group has broken. */
    @Volatile
    var onBroken: (String) -> Unit = {}

    private val queuedRequests = AtomicInteger()
    private val openResponses = ConcurrentHashMap.newKeySet<ResponseWriter>()

    /** The ids of the requests that were executed here. */
    val executedRequestIds = CopyOnWriteArrayList<String>()

    /** The ids of the requests that were rejected with a retry-after time. */
    val rejectedRequestIds = CopyOnWriteArrayList<String>()

    /** The ids of the requests whose caller disconnected before the response was complete. */
    val abandonedRequestIds = CopyOnWriteArrayList<String>()

    /** Called with each request that begins to run here, and with the group in which it does. */
    @Volatile
    var onExecuted: (HttpRequestMessage, GroupIdentity?) -> Unit = { _, _ -> }

    /** The last request that was executed here. */
    @Volatile
    var lastRequest: HttpRequestMessage? = null

    override fun handle(
        request: HttpRequestMessage,
        response: ResponseWriter,
    ) {
        if (fault == RunnerFault.DARK) return
        if (fault == RunnerFault.SILENT) {
            timer.schedule({ handle(request, response) }, SILENCE_CHECK_MILLISECONDS, TimeUnit.MILLISECONDS)
            return
        }
        val expected = request.headers["expect-instance"]
        val group = state.openGroup()
        when {
            expected != null && expected != settings.id -> {
                response.respond(
                    MISDIRECTED_REQUEST,
                    HeaderFields.of("instance-id" to settings.id),
                )
            }

            request.path == "/api/report" -> {
                response.sendJson(state.report())
            }

            request.path == "/api/order" -> {
                applyOrder(request, response)
            }

            request.path == "/health" -> {
                response.respond(OK, HeaderFields.of("instance-id" to settings.id))
            }

            state.headCondition() == HeadCondition.STANDING_STILL -> {
                state.queuedRequests = queuedRequests.incrementAndGet()
                awaitBreak(response)
            }

            state.headCondition() == HeadCondition.BROKEN -> {
                rejectBroken(response)
            }

            state.isGrouped && group == null -> {
                response.respond(MISDIRECTED_REQUEST, HeaderFields.of("instance-id" to settings.id))
            }

            fault == RunnerFault.FULL -> {
                response.respond(SERVICE_UNAVAILABLE, HeaderFields.of("not-executed" to "1"))
            }

            fault == RunnerFault.RESTING -> {
                rejectedRequestIds += request.headers["request-id"].orEmpty()
                response.respond(
                    SERVICE_UNAVAILABLE,
                    HeaderFields.of("not-executed" to "1", "retry-after" to RETRY_AFTER_SECONDS),
                )
            }

            else -> {
                execute(request, response, group)
            }
        }
    }

    /** Holds a request of a group that stands still; it never begins to run. */
    private fun awaitBreak(response: ResponseWriter) {
        if (state.headCondition() == HeadCondition.STANDING_STILL) {
            timer.schedule({ awaitBreak(response) }, SILENCE_CHECK_MILLISECONDS, TimeUnit.MILLISECONDS)
            return
        }
        state.queuedRequests = queuedRequests.decrementAndGet()
        rejectBroken(response)
    }

    private fun rejectBroken(response: ResponseWriter) =
        response.respond(SERVICE_UNAVAILABLE, HeaderFields.of("not-executed" to "1"))

    /** The entry shows that the group is broken as soon as it is. */
    internal fun publishBreak() {
        timer.schedule(onEntryChanged, settings.stallMilliseconds + 1, TimeUnit.MILLISECONDS)
    }

    private fun applyOrder(
        request: HttpRequestMessage,
        response: ResponseWriter,
    ) {
        val order = Json.read<JsonNode>(request.body).getOrNull()
        val status = if (order == null) BAD_REQUEST else state.applyOrder(order)
        response.respond(status)
        if (order?.path("op")?.asText() in LEAVING_ORDERS && status == ACCEPTED) breakOffResponses()
        onEntryChanged()
        val openDelayMilliseconds = settings.joinMilliseconds + settings.openMilliseconds
        timer.schedule(onEntryChanged, settings.joinMilliseconds, TimeUnit.MILLISECONDS)
        timer.schedule(onEntryChanged, openDelayMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun execute(
        request: HttpRequestMessage,
        response: ResponseWriter,
        group: GroupIdentity?,
    ) {
        val id = request.headers["request-id"].orEmpty()
        executedRequestIds += id
        onExecuted(request, group)
        response.onCallerDisconnected {
            abandonedRequestIds += id
            removeStream(response)
        }
        lastRequest = request
        val echoedId = if (fault == RunnerFault.CROSSED) "another" else id
        var headers = HeaderFields.of("request-id" to echoedId, "response-signature" to "${settings.id}.$id")
        if (fault == RunnerFault.UNNAMED) headers = headers.without(setOf("request-id"))
        if (fault == RunnerFault.LEAVING_UNLISTED) headers = headers.with("server-leaving", "1")
        namedLimit?.let { headers = headers.with("server-limit", it) }
        val tokenUsage = request.headers["token-usage"]
        val requested = RequestedAnswer.of(request.headers)
        if (requested != null && (tokenUsage == null || requested.status != OK)) {
            val body = RequestedAnswer.body(settings.id, id, requested.bodyBytes)
            val answer = { response.respond(requested.status, headers, body) }
            timer.schedule(answer, requested.milliseconds, TimeUnit.MILLISECONDS)
            return
        }
        if (tokenUsage == null) {
            response.respond(OK, headers, request.body)
            return
        }
        val count = tokenUsage.substringAfter(',').trim().toInt()
        val firstEvent = (request.headers["last-event-id"]?.toInt() ?: -1) + 1
        openResponses += response
        state.recordStreams(openResponses.size)
        if (isDeadly(request)) {
            timer.schedule(::crash, settings.tokenMilliseconds, TimeUnit.MILLISECONDS)
            return
        }
        response.start(OK, headers.with("content-type", "text/event-stream"))
        val data: (Int) -> String =
            if (requested ==
                null
            ) {
                { event -> "token-$event" }
            } else {
                { event -> RequestedAnswer.eventData(settings.id, id, event) }
            }
        sendEvent(
            EventStream(id, response, count, requested?.milliseconds ?: settings.tokenMilliseconds, data),
            firstEvent,
        )
    }

    /** An answer of [count] events with a pause of [pauseMilliseconds] after each. */
    private class EventStream(
        val id: String,
        val response: ResponseWriter,
        val count: Int,
        val pauseMilliseconds: Long,
        val data: (Int) -> String,
    )

    private fun isDeadly(request: HttpRequestMessage): Boolean {
        val deadlyPart = deadlyPromptPart ?: return false
        val parts = request.headers["prompt-prefix"].orEmpty().split(',')
        return parts.any { it.substringBefore(':') == deadlyPart }
    }

    /** Ends all responses with their connections and starts anew, as another instance that is in no group. */
    private fun crash() {
        crashes.incrementAndGet()
        state.restart()
        breakOffResponses()
        onEntryChanged()
    }

    private fun breakOffResponses() {
        openResponses.forEach { it.abort() }
        openResponses.clear()
        state.recordStreams(0)
    }

    /** Drops a stream that is complete or whose caller has left; a group that closes is ready without any. */
    private fun removeStream(response: ResponseWriter) {
        if (openResponses.remove(response) && state.recordStreams(openResponses.size)) onEntryChanged()
    }

    /** Breaks [stream] off before [event] if the group is broken, or within it if it is to be torn there. */
    private fun breaksOff(
        stream: EventStream,
        event: Int,
    ): Boolean {
        val isBroken = state.headCondition() == HeadCondition.BROKEN
        val isTorn = fault == RunnerFault.TORN && event == stream.count / 2 && event < stream.count
        if (!isBroken && !isTorn) return false
        if (isBroken) onBroken(stream.id) else stream.response.write("id: $event\nda".toByteArray())
        removeStream(stream.response)
        stream.response.abort()
        return true
    }

    private fun sendEvent(
        stream: EventStream,
        event: Int,
    ) {
        val response = stream.response
        if (fault == RunnerFault.DARK || response !in openResponses) return
        if (fault in SILENCES || state.headCondition() == HeadCondition.STANDING_STILL) {
            timer.schedule({ sendEvent(stream, event) }, SILENCE_CHECK_MILLISECONDS, TimeUnit.MILLISECONDS)
            return
        }
        if (breaksOff(stream, event)) return
        if (event >= stream.count) {
            removeStream(response)
            response.finish()
            return
        }
        response.write("id: $event\ndata: ${stream.data(event)}\n\n".toByteArray())
        timer.schedule({ sendEvent(stream, event + 1) }, stream.pauseMilliseconds, TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val ACCEPTED = 202
        const val MISDIRECTED_REQUEST = 421
        const val SERVICE_UNAVAILABLE = 503

        /** These take a head out of its group at once, with the streams under way. */
        val LEAVING_ORDERS = setOf("leave", "join")
        val SILENCES = setOf(RunnerFault.SILENT, RunnerFault.SILENT_STREAMS)
        const val SILENCE_CHECK_MILLISECONDS = 10L

        /** Longer than the duration of a test's requests. */
        const val RETRY_AFTER_SECONDS = "30.5"
    }
}
