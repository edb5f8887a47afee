package org.vanillalink.gateway.traffic

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.vanillalink.gateway.logs.DecisionInputs
import org.vanillalink.gateway.logs.RequestLogger
import org.vanillalink.gateway.ports.CallProtocol
import org.vanillalink.gateway.ports.GatewayLimits
import org.vanillalink.gateway.ports.RequestMetadata
import org.vanillalink.model.ServiceName
import org.vanillalink.model.WorkspaceId
import org.vanillalink.serving.catalog.CallKind
import org.vanillalink.serving.catalog.CallerLimits
import org.vanillalink.serving.catalog.Catalog
import org.vanillalink.serving.catalog.Route
import org.vanillalink.serving.catalog.ServiceDefinition
import org.vanillalink.serving.catalog.ServingConfiguration
import org.vanillalink.serving.catalog.WeightedService
import org.vanillalink.serving.catalog.Workspace
import org.vanillalink.transport.HeaderFields
import org.vanillalink.transport.HttpRequestMessage
import org.vanillalink.transport.ScheduledAction
import org.vanillalink.transport.TransportFailure
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

internal class CallHandlerTest {
    private val http = FakeHttpClient()
    private val response = RecordingResponse()
    private val state = TrafficState(GatewayLimits(), Random(1))
    private val desk = ServiceDefinition(ServiceName("desk"), "/health", 10, 0.0, engine = null)
    private val configuration =
        ServingConfiguration(
            version = 1,
            routes =
                listOf(
                    Route(
                        "orders",
                        "h",
                        "/",
                        CallKind.NON_IDEMPOTENT,
                        listOf(WeightedService(desk.name, 1)),
                        8_000,
                        500,
                        1,
                        1,
                        isPublic = false,
                        isResumable = false,
                        300,
                    ),
                ),
            services = listOf(desk),
            workspaces =
                listOf(
                    Workspace(WorkspaceId("gritworks"), setOf("first", "second"), null),
                    Workspace(WorkspaceId("other"), setOf("of-another"), null),
                ),
            CallerLimits(),
        )

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

    // Guards against a request that crashes targets anew with each key of its caller (BUDGET, review/10).
    @Test
    fun `a request that crashed targets is refused with another key of its caller, and not with another caller's`() {
        repeat(3) { target ->
            list("t-$target")
            send("first")
            http.last.onFailure(TransportFailure.ConnectionLost("reset"))
        }
        list("t-9")

        assertEquals(503, send("second").status)
        assertEquals(3, http.listeners.size)
        send("of-another")
        assertEquals(4, http.listeners.size)
    }

    private fun list(target: String) {
        state.view = TrafficView(Catalog(configuration), plainTargets = mapOf(desk.name to listOf(targetEntry(target))))
    }

    private fun send(key: String): RecordingResponse {
        val message = HttpRequestMessage("POST", "/", HeaderFields.of("key" to key), "deadly".toByteArray())
        return RecordingResponse().also { createHandler(isDraining = false, KeyProtocol).handle(message, it) }
    }

    private object KeyProtocol : CallProtocol by FakeCallProtocol {
        override fun readRequest(request: HttpRequestMessage) =
            RequestMetadata("id", "h", 8_000, request.headers["key"], null, null, 0)
    }

    private fun handle(isDraining: Boolean) =
        createHandler(isDraining).handle(HttpRequestMessage("POST", "/"), response)

    private fun createHandler(
        isDraining: Boolean,
        protocol: CallProtocol = FakeCallProtocol,
    ): CallHandler {
        val context =
            CallContext(
                state,
                http,
                protocol,
                RequestLogger(SimpleMeterRegistry(), { 0 }, { DecisionInputs(null, null, 1, 0) }),
                ActiveCalls(),
                { 0 },
                { _, _ -> ScheduledAction {} },
            )
        return CallHandler(context, { true }, Random(1), {}, { isDraining })
    }
}
