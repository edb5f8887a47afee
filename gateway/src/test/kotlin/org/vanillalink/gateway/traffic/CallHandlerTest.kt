package org.vanillalink.gateway.traffic

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.vanillalink.gateway.logs.DecisionInputs
import org.vanillalink.gateway.logs.RequestLogger
import org.vanillalink.gateway.ports.GatewayLimits
import org.vanillalink.transport.HttpRequestMessage
import org.vanillalink.transport.ScheduledAction
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

internal class CallHandlerTest {
    private val http = FakeHttpClient()
    private val response = RecordingResponse()

    // Guards against requests that a daemon takes from kept connections while it stops, and then cuts (review/1).
    @Test
    fun `a request that arrives while the daemon drains is refused as not run`() {
        handle(isDraining = true)

        assertEquals(503, response.status)
        assertNotNull(response.headers["retry-after"])
        assertEquals("not-run", response.headers["vanillalink-outcome"])
        assertEquals(0, http.listeners.size)
    }

    // Guards against running a request behind a response after which the connection is closed.
    @Test
    fun `a request behind a response that closes the connection is refused as not run`() {
        createHandler(isDraining = false).refuse(HttpRequestMessage("POST", "/"), response)

        assertEquals(503, response.status)
        assertNotNull(response.headers["retry-after"])
        assertEquals("not-run", response.headers["vanillalink-outcome"])
        assertEquals(0, http.listeners.size)
    }

    // Guards against the end of a caller's connection that can't be joined with the lines of its request.
    @Test
    fun `the response to each request is identified by the request's id`() {
        handle(isDraining = false)
        val refused = RecordingResponse()
        createHandler(isDraining = false).refuse(HttpRequestMessage("POST", "/"), refused)

        assertEquals("id", response.requestId)
        assertEquals("id", refused.requestId)
    }

    private fun handle(isDraining: Boolean) =
        createHandler(isDraining).handle(HttpRequestMessage("POST", "/"), response)

    private fun createHandler(isDraining: Boolean): CallHandler {
        val context =
            CallContext(
                TrafficState(GatewayLimits(), Random(1)),
                http,
                FakeCallProtocol,
                RequestLogger(SimpleMeterRegistry(), { 0 }, { DecisionInputs(null, null, 1, 0) }),
                ActiveCalls(),
                { 0 },
                { _, _ -> ScheduledAction {} },
            )
        return CallHandler(context, { true }, Random(1), {}, { isDraining })
    }
}
