/*
 * The requests of a caller.
 */
package org.vanillalink.soak.callers

import org.vanillalink.soak.Profile
import org.vanillalink.soak.deployment.OperatorConfiguration
import org.vanillalink.soak.deployment.SoakRoute
import org.vanillalink.soak.record.CallKind
import org.vanillalink.soak.record.SentRequest
import org.vanillalink.standins.runner.RequestedAnswer
import kotlin.random.Random

/** A request and how it is written: [pieces] one after the other, with [pauseMs] between them. */
internal class PreparedRequest(
    val sent: SentRequest,
    val pieces: List<ByteArray>,
    val pauseMs: Long,
)

/** Makes requests by [random]; ids begin with [prefix]. Not thread-safe. */
internal class CallMaker(
    private val prefix: String,
    private val profile: Profile,
    private val style: CallerStyle,
    private val random: Random,
    private val addedRoutes: () -> List<SoakRoute> = { emptyList() },
) {
    private var count = 0

    /** One of how many answers is large. */
    private val largeShare =
        if (style == CallerStyle.SLOW_READER || style == CallerStyle.SLOW_AHEAD) SLOW_LARGE_SHARE else LARGE_SHARE

    fun next(): PreparedRequest {
        val mix = profile.calls
        val draw = random.nextDouble()
        return when {
            draw < mix.streams -> {
                stream()
            }

            draw < mix.streams + mix.orders -> {
                post(
                    CallKind.ORDER,
                    if (random.nextBoolean()) OperatorConfiguration.ORDERS else OperatorConfiguration.KEYED_ORDERS,
                )
            }

            else -> {
                lookup()
            }
        }
    }

    /** A request that crashes the targets that run it; each one has the same path, caller and body. */
    fun deadly(): PreparedRequest {
        val route = OperatorConfiguration.KEYED_ORDERS
        val answer = RequestedAnswer(OK, SMALL_BODY, LONG_WORK_MS)
        val body = RequestedAnswer.DEADLY_BODY.toByteArray()
        return build(nextId(), CallKind.ORDER, "POST", route, answer, 0, emptyMap(), body, "${route.prefix}deadly")
    }

    private fun stream(): PreparedRequest {
        val events = profile.events.random(random)
        val model = profile.models.random(random).name
        val isFailure = random.nextDouble() < STREAM_FAILURES
        val answer =
            RequestedAnswer(if (isFailure) FAILURE else OK, SMALL_BODY, profile.eventMs.random(random).toLong())
        val id = nextId()
        val fields =
            mapOf(
                "Model" to model,
                "Token-Usage" to "$PROMPT_TOKENS,$events",
                "Prompt-Prefix" to "5c1e07a2:40,${id.hashCode().toUInt().toString(HEXADECIMAL)}:660",
            )
        return build(id, CallKind.STREAM, "POST", OperatorConfiguration.STREAMS, answer, events, fields, body(id))
    }

    private fun post(
        kind: CallKind,
        route: SoakRoute,
    ): PreparedRequest {
        val id = nextId()
        return build(id, kind, "POST", route, plainAnswer(), 0, emptyMap(), body(id))
    }

    private fun lookup(): PreparedRequest = build(
        nextId(),
        CallKind.LOOKUP,
        "GET",
        lookupRoute(),
        plainAnswer(),
        0,
        emptyMap(),
        ByteArray(0),
    )

    /** The newest route shows soonest whether a daemon has an older configuration. */
    private fun lookupRoute(): SoakRoute =
        addedRoutes().lastOrNull()?.takeIf { random.nextBoolean() } ?: OperatorConfiguration.LOOKUPS

    private fun plainAnswer() = RequestedAnswer(
        if (random.nextDouble() < profile.calls.failures) FAILURES.random(random) else OK,
        if (random.nextInt(largeShare) ==
            0
        ) {
            random.nextInt(SMALL_BODY, LARGE_BODY)
        } else {
            SMALL_BODY + random.nextInt(SMALL_BODY)
        },
        random.nextLong(SHORTEST_WORK_MS, if (random.nextInt(LARGE_SHARE) == 0) LONG_WORK_MS else WORK_MS),
    )

    private fun body(id: String): ByteArray {
        val isLong = style == CallerStyle.SLOW_SENDER || random.nextDouble() < profile.calls.longBodies
        return RequestedAnswer.body(
            "body",
            id,
            if (isLong) random.nextInt(LONG_BODY) else random.nextInt(1, SMALL_BODY),
        )
    }

    private fun nextId() = "$prefix-${++count}"

    @Suppress("LongParameterList")
    private fun build(
        id: String,
        kind: CallKind,
        method: String,
        route: SoakRoute,
        answer: RequestedAnswer,
        events: Int,
        fields: Map<String, String>,
        body: ByteArray,
        target: String = "${route.prefix}${id.length}?id=$id",
    ): PreparedRequest {
        val deadlineMs = if (kind == CallKind.STREAM) STREAM_DEADLINE_MS else PLAIN_DEADLINE_MS
        val isChunked = body.isNotEmpty() && random.nextDouble() < profile.calls.chunkedBodies
        val framing =
            if (isChunked) {
                mapOf("Transfer-Encoding" to "chunked")
            } else {
                mapOf("Content-Length" to "${body.size}")
            }
        val head =
            mapOf("Host" to OperatorConfiguration.HOST, "Request-Id" to id, "Deadline-Ms" to "$deadlineMs") +
                mapOf("Authorization" to "Bearer ${OperatorConfiguration.KEY}").filter { !route.isPublic } +
                fields + answer.fields() + framing.filter { method == "POST" }
        val lines = listOf("$method $target HTTP/1.1") + head.map { (name, value) -> "$name: $value" }
        val start = (lines.joinToString("\r\n") + "\r\n\r\n").toByteArray()
        val sent =
            SentRequest(
                id,
                kind,
                method,
                target,
                body.contentHashCode(),
                answer,
                events,
                deadlineMs,
                route.timeoutMs,
                !route.isPublic,
            )
        return prepare(sent, start, body, isChunked)
    }

    private fun prepare(
        sent: SentRequest,
        head: ByteArray,
        body: ByteArray,
        isChunked: Boolean,
    ): PreparedRequest {
        val parts = if (body.isEmpty()) emptyList() else body.asList().chunked(PIECE_BYTES) { it.toByteArray() }
        val framed = if (isChunked) parts.map(::chunk) + "0\r\n\r\n".toByteArray() else parts
        if (style ==
            CallerStyle.SLOW_SENDER
        ) {
            return PreparedRequest(sent, listOf(head) + framed, random.nextLong(SEND_PAUSE_MS))
        }
        return PreparedRequest(sent, listOf(framed.fold(head) { all, part -> all + part }), 0)
    }

    private fun chunk(part: ByteArray) =
        "${part.size.toString(HEXADECIMAL)}\r\n".toByteArray() + part + "\r\n".toByteArray()

    private companion object {
        const val OK = 200
        const val FAILURE = 500

        /** Some of them say to callers that a request has not run, although its target has run it. */
        val FAILURES = listOf(FAILURE, FAILURE, FAILURE, 408, 429, 503)
        const val STREAM_FAILURES = 0.03
        const val PROMPT_TOKENS = 700
        const val HEXADECIMAL = 16
        const val SMALL_BODY = 800
        const val LARGE_BODY = 120_000
        const val LONG_BODY = 60_000
        const val LARGE_SHARE = 12
        const val SLOW_LARGE_SHARE = 3
        const val SHORTEST_WORK_MS = 2L
        const val WORK_MS = 40L
        const val LONG_WORK_MS = 600L
        const val PIECE_BYTES = 6_000
        const val SEND_PAUSE_MS = 40L
        const val STREAM_DEADLINE_MS = 8_000L
        const val PLAIN_DEADLINE_MS = 1_500L
    }
}
