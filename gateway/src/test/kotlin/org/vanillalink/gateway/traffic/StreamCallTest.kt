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

    @Test
    fun `a resumed stream without further events is complete`() {
        start(lastEventId = 7)
        http.last.onHead(200, HeaderFields())
        http.last.onComplete()

        assertTrue(response.isFinished)
        assertEquals(1, http.listeners.size)
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

    private fun start(
        fingerprint: String = "f",
        part: String = "p",
        lastEventId: Long? = null,
    ) {
        val metadata = RequestMetadata("id", "h", 8_000, null, null, lastEventId, 0, listOf(part))
        val message = HttpRequestMessage("POST", "/")
        val signature = signature(fingerprint, part)
        StreamCall(
            context,
            AdmittedRequest(message, metadata, route, service, null, 0, 8_000, 8_000, signature),
            response,
        ).startFirstAttempt()
    }

    private fun signature(
        fingerprint: String,
        part: String,
    ) = RequestSignature(RequestFingerprint(fingerprint), listOf(part))

    private fun event(id: Int) = "id: $id\ndata: x\n\n".toByteArray()
}
