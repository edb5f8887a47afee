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
import org.vanillalink.transport.ResponseListener
import org.vanillalink.transport.ResponseWriter
import org.vanillalink.transport.ScheduledAction
import org.vanillalink.transport.TransportFailure
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Streams whose responses have no length and no chunks, so that they end with their connections. */
internal class StreamCallTest {
    private val service = ServiceDefinition(ServiceName("writer"), "/health", 10, 0.0, engine = null)
    private val route =
        Route("r", "h", "/", CallKind.STREAM, emptyList(), 8_000, 500, 1, 2, isPublic = true, isResumable = true, 300)
    private val targets = listOf("t-1", "t-2", "t-3").map { targetEntry(it) }
    private val state =
        TrafficState(GatewayLimits(), Random(1)).apply {
            view = TrafficView(plainTargets = mapOf(service.name to targets))
        }
    private val http = FakeHttpClient()
    private val response = RecordingResponse()
    private val activeCalls = ActiveCalls()
    private val context =
        CallContext(
            state,
            http,
            FakeCallProtocol,
            RequestLogger(SimpleMeterRegistry(), { 0 }, { DecisionInputs(null, null, 1, 0) }),
            activeCalls,
            { 0 },
            { _, _ -> ScheduledAction {} },
        )

    @Test
    fun `a stream that ends with its connection after an event is complete`() {
        start()
        http.last.onHead(200, HeaderFields())
        http.last.onBodyChunk(event(0))
        http.last.onComplete()

        assertEquals("id: 0\ndata: x\n\n", response.body)
        assertTrue(response.isFinished)
        assertEquals(1, http.listeners.size)
    }

    // Guards against passing on a stream that was broken off inside an event as complete.
    @Test
    fun `a stream that ends with its connection inside an event is resumed after its last event`() {
        start()
        http.last.onHead(200, HeaderFields())
        http.last.onBodyChunk(event(0) + "id: 1\nda".toByteArray())
        http.last.onComplete()
        assertFalse(response.isFinished)
        http.last.onHead(200, HeaderFields())
        http.last.onBodyChunk(event(1))
        http.last.onComplete()

        assertEquals("id: 0\ndata: x\n\nid: 1\ndata: x\n\n", response.body)
        assertTrue(response.isFinished)
    }

    // Guards against passing on the empty stream of a target that crashed when it began to answer as complete.
    @Test
    fun `a stream that ends with its connection before its first event is sent to another target`() {
        start()
        http.last.onHead(200, HeaderFields())
        http.last.onComplete()

        assertFalse(response.isFinished)
        assertEquals(2, http.listeners.size)
    }

    // Guards against a stream that runs twice, since its caller was told that it had not run (REFUSED).
    @Test
    fun `a target's 503 after it began a stream that may not be resumed is not passed on`() {
        start(isResumable = false)
        http.last.onHead(503, HeaderFields.of("content-type" to "text/plain"))
        http.last.onComplete()

        assertEquals(502, response.status)
        assertTrue("unknown" in response.body, response.body)
    }

    @Test
    fun `a resumed stream without further events is complete`() {
        start(lastEventId = 7)
        http.last.onHead(200, CHUNKED)
        http.last.onComplete()

        assertTrue(response.isFinished)
        assertEquals(1, http.listeners.size)
    }

    // Guards against a stream that ends as complete because the next target's connection ended before its first event.
    @Test
    fun `a resumed stream that ends with its connection before its first event is broken off`() {
        start()
        beginStream()
        http.last.onFailure(TransportFailure.ConnectionLost("reset"))
        http.last.onHead(200, HeaderFields())
        http.last.onComplete()

        assertFalse(response.isFinished)
        assertTrue(response.isAborted)
    }

    @Test
    fun `a stream without any event is not complete`() {
        start()
        http.last.onHead(200, CHUNKED)
        http.last.onComplete()

        assertFalse(response.isFinished)
        assertEquals(2, http.listeners.size)
    }

    // Guards against an error's text, or its whole head, in the middle of a stream.
    @Test
    fun `nothing but events of its own reaches the caller of a stream that broke off`() {
        val failures: List<(ResponseListener) -> Unit> =
            listOf(
                { it.onHead(500, CHUNKED) },
                { it.onHead(200, CHUNKED.with("content-type", "application/json")) },
                { it.onHead(200, CHUNKED) },
                { it.onHead(200, HeaderFields()) },
            )
        val texts =
            listOf("failed\n\n", "{\"error\":1}", "HTTP/1.1 503 x\r\nNot-Executed: 1\r\n\r\n", "id: 0\ndata: x\n\n")
        var requests = 0
        failures.forEachIndexed { index, beginResponse ->
            texts.forEach { text ->
                val caller = RecordingResponse()
                requests += 1
                repeat(RETRY_RATIO_DIVISOR) { state.recordRequest(service, null, 0) }
                start(fingerprint = "$index$text", part = "$index$text", response = caller)
                beginStream()
                http.last.onFailure(TransportFailure.ConnectionLost("reset"))
                val next = http.last
                assertEquals(2 * requests, http.listeners.size)
                beginResponse(next)
                next.onBodyChunk(text.toByteArray())
                next.onComplete()

                assertEquals("id: 0\ndata: x\n\n", caller.body, text)
                assertFalse(caller.isFinished, text)
                assertTrue(caller.isAborted, text)
            }
        }
    }

    // Guards against a head of an extra response that is taken for the end of a stream without a length.
    @Test
    fun `an extra response behind the last event does not reach the caller`() {
        start()
        beginStream()
        http.last.onBodyChunk("HTTP/1.1 503 x\r\nNot-Executed: 1\r\n\r\n".toByteArray())
        http.last.onHead(200, CHUNKED)
        http.last.onComplete()

        assertEquals("id: 0\ndata: x\n\n", response.body)
        assertTrue(response.isFinished)
        assertEquals(2, http.listeners.size)
    }

    @Test
    fun `events that skip one within a chunk are not passed on`() {
        start()
        beginStream()
        http.last.onBodyChunk(event(1) + event(3))

        assertEquals("id: 0\ndata: x\n\n", response.body)
        assertEquals(2, http.listeners.size)
    }

    // Guards against telling callers that a request has not run, by a refusal that was written once more (REFUSED).
    @Test
    fun `a refusal without an id on a kept connection proves nothing`() {
        http.isOnKeptConnection = true
        start()
        http.last.onHead(503, HeaderFields.of("not-executed" to "1", "request-id" to NO_ID))
        http.last.onHead(503, HeaderFields.of("not-executed" to "1", "request-id" to NO_ID))

        assertEquals(502, response.status)
        assertEquals("unknown", response.headers["vanillalink-outcome"])
    }

    @Test
    fun `a refusal with another request's id proves nothing`() {
        start()
        http.last.onHead(503, HeaderFields.of("not-executed" to "1", "request-id" to "another"))
        http.last.onHead(503, HeaderFields.of("not-executed" to "1", "request-id" to "another"))

        assertEquals("unknown", response.headers["vanillalink-outcome"])
    }

    @Test
    fun `a refusal without an id on a new connection can only be of its request`() {
        start()
        http.last.onHead(503, HeaderFields.of("not-executed" to "1", "request-id" to NO_ID))
        http.last.onHead(503, HeaderFields.of("not-executed" to "1", "request-id" to NO_ID))

        assertEquals("not-run", response.headers["vanillalink-outcome"])
    }

    // Guards against evidence that is missed because the connection of a crashed target ended in an orderly way.
    @Test
    fun `ends before the first event are losses of targets`() {
        repeat(3) { index ->
            start(fingerprint = "r$index", part = "bad")
            http.last.onHead(200, HeaderFields())
            http.last.onComplete()
        }

        assertNotNull(state.poisonDetector.findBlock(signature("new", "bad"), 0))
    }

    @Test
    fun `losses after the second event do not count against the request`() {
        repeat(3) { index ->
            start(fingerprint = "r$index", part = "part")
            http.last.onHead(200, HeaderFields())
            http.last.onBodyChunk(event(0))
            http.last.onBodyChunk(event(1))
            http.last.onFailure(TransportFailure.ConnectionLost("reset"))
        }

        assertNull(state.poisonDetector.findBlock(signature("new", "part"), 0))
    }

    // Guards against crashing targets with requests that were waiting there when their part became known.
    @Test
    fun `a call that its target has not begun to answer is stopped when its part is blocked`() {
        start(fingerprint = "waiting", part = "bad")
        targets.forEachIndexed { index, target ->
            state.poisonDetector.recordLoss(target.instance, signature("r$index", "bad"), 0)
        }
        state.poisonDetector.update(0)
        activeCalls.stopBlocked(state.poisonDetector, 0)

        assertEquals(502, response.status)
        assertTrue(http.isClosed)
    }

    @Test
    fun `a call whose part is blocked is not sent again`() {
        listOf(
            "t-8",
            "t-9",
        ).forEach { state.poisonDetector.recordLoss(targetEntry(it).instance, signature(it, "bad"), 0) }
        start(fingerprint = "r", part = "bad")
        http.last.onFailure(TransportFailure.ConnectionLost("reset"))

        assertEquals(1, http.listeners.size)
        assertEquals(502, response.status)
    }

    // Guards against crashing a target with a request that another target rejected before its part became known.
    @Test
    fun `a call that its target rejects is not sent again when its part is blocked`() {
        start(fingerprint = "r", part = "bad")
        listOf("t-7", "t-8", "t-9").forEach {
            state.poisonDetector.recordLoss(targetEntry(it).instance, signature(it, "bad"), 0)
        }
        state.poisonDetector.update(0)
        http.last.onHead(503, HeaderFields.of("not-executed" to "1"))

        assertEquals(1, http.listeners.size)
        assertEquals(503, response.status)
    }

    // Guards against cutting a stream whose sound group is silent for a while and no other one is there (review/4).
    @Test
    fun `a stream whose target is silent and that has no other target goes on when the target does`() {
        state.view = TrafficView(plainTargets = mapOf(service.name to targets.take(1)))
        val call = start()
        beginStream()
        repeat(3) { call.hedge("group-stalled") }
        assertFalse(http.isClosed)
        http.last.onBodyChunk(event(1))
        http.last.onComplete()

        assertEquals("id: 0\ndata: x\n\nid: 1\ndata: x\n\n", response.body)
        assertTrue(response.isFinished)
    }

    // The same where the controller calls the group broken: its head may finish the stream before it leaves.
    @Test
    fun `a stream whose group is broken and that has no other target goes on when the group does`() {
        state.view = TrafficView(plainTargets = mapOf(service.name to targets.take(1)))
        val call = start()
        beginStream()
        call.failOver("group-broken")
        http.last.onComplete()

        assertTrue(response.isFinished)
    }

    // Guards against events of a broken group that come between those of the target at which the stream continues.
    @Test
    fun `a stream at a broken group continues at another target at once`() {
        val call = start()
        beginStream()
        call.failOver("group-broken")
        assertEquals(2, http.listeners.size)
        assertEquals(setOf(0), http.paused)
        http.listeners[1].onHead(200, HeaderFields())
        http.listeners[1].onBodyChunk(event(1))
        http.listeners[1].onComplete()

        assertEquals("id: 0\ndata: x\n\nid: 1\ndata: x\n\n", response.body)
        assertTrue(response.isFinished)
        assertEquals(listOf(0), http.closed)
    }

    // Guards against cutting a stream whose group counts as broken since a sound member was silent (LOST).
    @Test
    fun `a stream at a broken group goes on there when the next target rejects it`() {
        val call = start()
        beginStream()
        call.failOver("group-broken")
        http.listeners[1].onHead(421, HeaderFields.of("not-executed" to "1"))
        call.failOver("group-broken")
        assertEquals(emptySet(), http.paused)
        http.listeners[0].onBodyChunk(event(1))
        http.listeners[0].onComplete()

        assertEquals("id: 0\ndata: x\n\nid: 1\ndata: x\n\n", response.body)
        assertTrue(response.isFinished)
    }

    @Test
    fun `a silent stream whose group turns out broken waits for its second attempt`() {
        val call = start()
        beginStream()
        call.hedge("group-stalled")
        call.failOver("group-broken")

        assertEquals(2, http.listeners.size)
        assertEquals(setOf(0), http.paused)
        assertFalse(http.isClosed)
    }

    // Guards against giving up a silent stream for a target that then rejects it.
    @Test
    fun `a silent stream goes on at its target when the second target rejects it`() {
        val call = start()
        beginStream()
        call.hedge("group-stalled")
        http.listeners[1].onHead(503, HeaderFields.of("not-executed" to "1"))
        http.listeners[0].onBodyChunk(event(1))
        http.listeners[0].onComplete()

        assertEquals("id: 0\ndata: x\n\nid: 1\ndata: x\n\n", response.body)
        assertTrue(response.isFinished)
    }

    // Guards against mixing the events of two runs.
    @Test
    fun `the second attempt at a silent stream takes its place when its response begins`() {
        val call = start()
        beginStream()
        call.hedge("group-stalled")
        http.listeners[1].onHead(200, HeaderFields())
        http.listeners[0].onBodyChunk(event(1))
        http.listeners[1].onBodyChunk(event(1))
        http.listeners[1].onComplete()

        assertEquals("id: 0\ndata: x\n\nid: 1\ndata: x\n\n", response.body)
        assertTrue(response.isFinished)
        assertEquals(listOf(0), http.closed)
    }

    @Test
    fun `the second attempt at a silent stream ends when the first one goes on`() {
        val call = start()
        beginStream()
        call.hedge("group-stalled")
        http.listeners[0].onBodyChunk(event(1))
        http.listeners[1].onHead(200, HeaderFields())
        http.listeners[1].onBodyChunk(event(1))

        assertEquals("id: 0\ndata: x\n\nid: 1\ndata: x\n\n", response.body)
        assertEquals(listOf(1), http.closed)
    }

    @Test
    fun `the second attempt at a silent stream is kept when the first one breaks off`() {
        val call = start()
        beginStream()
        call.hedge("group-stalled")
        http.listeners[0].onFailure(TransportFailure.ConnectionLost("reset"))
        http.listeners[1].onHead(200, HeaderFields())
        http.listeners[1].onBodyChunk(event(1))
        http.listeners[1].onComplete()

        assertTrue(response.isFinished)
        assertEquals(2, http.listeners.size)
    }

    @Test
    fun `both attempts at a silent stream end with their call`() {
        val call = start()
        beginStream()
        call.hedge("group-stalled")
        response.disconnect()

        assertEquals(listOf(0, 1), http.closed)
        assertEquals(0, state.inFlight.localCounts().size)
    }

    // Guards against a run for nobody, and a place counted for ever.
    @Test
    fun `each ended attempt is counted as ended at its target`() {
        val call = start()
        beginStream()
        call.hedge("group-stalled")
        http.listeners[1].onHead(200, HeaderFields())
        http.listeners[1].onBodyChunk(event(1))
        http.listeners[1].onComplete()

        assertEquals(0, state.inFlight.localCounts().size)
        assertEquals(emptySet(), state.stallDetector.targetsWithRequests())
    }

    private fun beginStream() {
        http.last.onHead(200, HeaderFields())
        http.last.onBodyChunk(event(0))
    }

    private fun start(
        fingerprint: String = "f",
        part: String = "p",
        lastEventId: Long? = null,
        response: ResponseWriter = this.response,
        isResumable: Boolean = true,
    ): StreamCall {
        val metadata = RequestMetadata("id", "h", 8_000, null, null, lastEventId, 0, listOf(part))
        val message = HttpRequestMessage("POST", "/")
        val signature = signature(fingerprint, part)
        val request =
            AdmittedRequest(
                message,
                metadata,
                route.copy(isResumable = isResumable),
                service,
                null,
                0,
                8_000,
                8_000,
                signature,
            )
        return StreamCall(context, request, response).apply { startFirstAttempt() }
    }

    private fun signature(
        fingerprint: String,
        part: String,
    ) = RequestSignature(RequestFingerprint(fingerprint), listOf(part))

    private fun event(id: Int) = "id: $id\ndata: x\n\n".toByteArray()

    private companion object {
        /** More requests than allow one retry. */
        const val RETRY_RATIO_DIVISOR = 10
        val CHUNKED = HeaderFields.of("transfer-encoding" to "chunked")
    }
}
