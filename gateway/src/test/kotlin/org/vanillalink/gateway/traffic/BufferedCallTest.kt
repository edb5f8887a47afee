package org.vanillalink.gateway.traffic

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.vanillalink.gateway.logs.DecisionInputs
import org.vanillalink.gateway.logs.RequestLogger
import org.vanillalink.gateway.ports.GatewayLimits
import org.vanillalink.gateway.ports.RequestMetadata
import org.vanillalink.model.ServiceName
import org.vanillalink.serving.balancing.RequestFingerprint
import org.vanillalink.serving.balancing.RequestSignature
import org.vanillalink.serving.catalog.CallKind
import org.vanillalink.serving.catalog.Route
import org.vanillalink.serving.catalog.ServiceDefinition
import org.vanillalink.transport.HeaderFields
import org.vanillalink.transport.HttpRequestMessage
import org.vanillalink.transport.ScheduledAction
import org.vanillalink.transport.TransportFailure
import java.time.Duration
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Calls whose target is silent for longer than usual. */
internal class BufferedCallTest {
    private val service = ServiceDefinition(ServiceName("desk"), "/health", 10, 0.0, engine = null)
    private val state = TrafficState(GatewayLimits(), Random(1))
    private val http = FakeHttpClient()
    private val response = RecordingResponse()
    private val timers = ArrayList<Pair<Duration, () -> Unit>>()
    private val context =
        CallContext(
            state,
            http,
            FakeCallProtocol,
            RequestLogger(SimpleMeterRegistry(), { 0 }, { DecisionInputs(null, null, 1, 0) }),
            ActiveCalls(),
            { 0 },
            { delay, action ->
                timers += delay to action
                ScheduledAction {}
            },
        )

    // Guards against giving up the only target of a call because it is slow (the cause of review/4).
    @Test
    fun `a slow call without another target gets the answer of its target`() {
        start(targets = 1)
        fireSlowTimer()
        answer(0, "late")

        assertEquals(200, response.status)
        assertEquals("late", response.body)
    }

    @Test
    fun `a slow call is sent to a second target and gets the first answer`() {
        start(targets = 2)
        fireSlowTimer()
        assertEquals(2, http.listeners.size)
        answer(0, "first")

        assertEquals("first", response.body)
        assertEquals(listOf(1), http.closed)
    }

    @Test
    fun `a slow call that its second target rejects gets the answer of the first one`() {
        start(targets = 2)
        fireSlowTimer()
        http.listeners[1].onHead(503, HeaderFields.of("not-executed" to "1"))
        answer(0, "first")

        assertEquals("first", response.body)
    }

    @Test
    fun `a call whose first target fails while the second one has it gets the answer of the second one`() {
        start(targets = 2)
        fireSlowTimer()
        http.listeners[0].onHead(500, HeaderFields())
        http.listeners[0].onComplete()
        answer(1, "second")

        assertEquals(200, response.status)
        assertEquals("second", response.body)
    }

    // A call that may run once at most has no timer; silence is no reason to give it up.
    @Test
    fun `a call that may not be repeated is not sent to a second target`() {
        start(targets = 2, kind = CallKind.NON_IDEMPOTENT)

        assertEquals(1, timers.size)
    }

    // Guards against an order that runs twice, since its caller was told that it had not run (REFUSED, review/8).
    @Test
    fun `the status of a target that has run an order is not passed on where it promises the contrary`() {
        listOf(408, 421, 429, 503).forEach { status ->
            start(targets = 2, kind = CallKind.NON_IDEMPOTENT)
            http.last.onHead(status, HeaderFields.of("retry-after" to "1"))
            http.last.onBodyChunk("the target's text".toByteArray())
            http.last.onComplete()

            assertEquals(502, response.status, "the target answered $status")
            assertEquals(null, response.headers["retry-after"])
            assertTrue("unknown" in response.body, response.body)
        }
        assertEquals(4, http.listeners.size)
    }

    @Test
    fun `an order that its target states not to have run is refused as not run`() {
        start(targets = 1, kind = CallKind.NON_IDEMPOTENT)
        http.last.onHead(503, HeaderFields.of("not-executed" to "1"))

        assertEquals(503, response.status)
    }

    @Test
    fun `other failures of a target that has run an order are passed on`() {
        listOf(400, 404, 500, 504).forEach { status ->
            start(targets = 1, kind = CallKind.NON_IDEMPOTENT)
            http.last.onHead(status, HeaderFields())
            http.last.onComplete()

            assertEquals(status, response.status)
        }
    }

    @Test
    fun `an attempt with a malformed answer is told from one whose connection is lost`() {
        val trails =
            listOf(TransportFailure.MalformedResponse("version"), TransportFailure.ConnectionLost("reset")).map {
                val call = start(targets = 2, kind = CallKind.NON_IDEMPOTENT)
                http.last.onFailure(it)
                call.attempts.trail
                    .toString()
                    .substringAfter('!')
                    .substringBefore('!')
            }

        assertEquals(listOf("malformed-answer", "connection-lost"), trails)
    }

    // Guards against refusing sound requests as crashing their targets, where targets answer twice.
    @Test
    fun `malformed answers are no losses of targets`() {
        failAtThreeTargets(TransportFailure.MalformedResponse("status-line-in-reason"))
        assertEquals(0, state.poisonDetector.blockCount)

        failAtThreeTargets(TransportFailure.ConnectionLost("reset"))
        assertEquals(1, state.poisonDetector.blockCount)
    }

    private fun failAtThreeTargets(failure: TransportFailure) = (1..3).forEach { target ->
        start(target..target, CallKind.NON_IDEMPOTENT)
        http.last.onFailure(failure)
    }

    private fun answer(
        attempt: Int,
        body: String,
    ) {
        http.listeners[attempt].onHead(200, HeaderFields())
        http.listeners[attempt].onBodyChunk(body.toByteArray())
        http.listeners[attempt].onComplete()
    }

    private fun fireSlowTimer() = timers.minBy { it.first }.second()

    private fun start(
        targets: Int,
        kind: CallKind = CallKind.IDEMPOTENT,
    ): BufferedCall = start(1..targets, kind)

    private fun start(
        targets: IntRange,
        kind: CallKind,
    ): BufferedCall {
        state.view = TrafficView(plainTargets = mapOf(service.name to targets.map { targetEntry("t-$it") }))
        val route = Route("r", "h", "/", kind, emptyList(), 8_000, 500, 1, 2, isPublic = true, isResumable = false, 300)
        val metadata = RequestMetadata("id", "h", 8_000, null, null, null, 0)
        val signature = RequestSignature(RequestFingerprint("f"), emptyList())
        val message = HttpRequestMessage("POST", "/")
        val request = AdmittedRequest(message, metadata, route, service, null, 0, 8_000, 8_000, signature)
        return BufferedCall(context, request, response).apply { start() }
    }
}
