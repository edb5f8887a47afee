package org.vanillalink.gateway.traffic

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.vanillalink.gateway.logs.DecisionInputs
import org.vanillalink.gateway.logs.RequestLogger
import org.vanillalink.gateway.ports.GatewayLimits
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
import java.time.Duration
import kotlin.random.Random
import kotlin.test.BeforeTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/** More calls than a target of six slots has room for, on an urgent route and on one that is less urgent. */
internal class WaitingCallsTest {
    private val desk = ServiceDefinition(ServiceName("desk"), "/health", 10, 0.0, engine = null)
    private val state = TrafficState(GatewayLimits(), Random(1))
    private val http = FakeHttpClient()
    private var now = 0L
    private val due = ArrayList<() -> Unit>()
    private val schedule = { delay: Duration, action: () -> Unit ->
        if (delay.isZero) due += action
        ScheduledAction {}
    }
    private val waitingCalls = WaitingCalls(state, Random(1), { now }, schedule)
    private val logger = RequestLogger(SimpleMeterRegistry(), { now }, { DecisionInputs(null, null, 1, 0) })
    private val context =
        CallContext(
            state,
            http,
            FakeCallProtocol,
            logger,
            ActiveCalls(),
            { now },
            schedule,
            waitingCalls = waitingCalls,
        )
    private val handler = CallHandler(context, { true }, Random(1), {}, { false })
    private val routes = mapOf("/urgent" to 0, "/other" to 2)

    @BeforeTest
    fun fillTarget() {
        configure(routes.keys)
        // Ten answers a second show how fast room becomes free.
        repeat(30) {
            call("/other")
            now += 100
            answer(http.listeners.size - 1)
        }
        while (call("/other").status == 0 && waitingCalls.count == 0) Unit
    }

    @Test
    fun `an urgent call that waits gets the next room before one that came earlier`() {
        val urgent = call("/urgent")
        val sent = http.listeners.size
        answer(sent - 1)

        assertEquals(sent + 1, http.listeners.size)
        answer(sent)
        assertEquals(200, urgent.status)
    }

    @Test
    fun `a call whose route or key is taken away while it waits isn't sent`() {
        val urgent = call("/urgent")
        configure(setOf("/other"), keys = setOf("another"))
        val sent = http.listeners.size
        answer(sent - 1)

        assertEquals(404, urgent.status)
        assertEquals(sent, http.listeners.size)
        assertEquals(0, waitingCalls.count)
    }

    @Test
    fun `calls that wait when the daemon stops are refused as not run and never sent`() {
        val urgent = call("/urgent")
        val sent = http.listeners.size
        waitingCalls.refuseAll()
        answer(sent - 1)

        assertEquals(503, urgent.status)
        assertEquals("not-run", urgent.headers["vanillalink-outcome"])
        assertEquals(sent, http.listeners.size)
    }

    @Test
    fun `a call whose caller leaves gives up its place`() {
        val urgent = call("/urgent")
        val waiting = waitingCalls.count
        urgent.disconnect()

        assertEquals(waiting - 1, waitingCalls.count)
    }

    @Test
    fun `calls that can't start in time any more are refused before their deadline`() {
        val urgent = call("/urgent")
        now += 3_500
        waitingCalls.update()

        assertEquals(503, urgent.status)
        assertNotNull(urgent.headers["retry-after"])
        assertEquals(0, waitingCalls.count)
    }

    // Guards against times that grow as the answers of lost targets stay away.
    @Test
    fun `calls that find no target are told the usual time to come back`() {
        state.view = TrafficView(catalog = state.view.catalog)
        now += 10_000
        val refused = call("/urgent")

        assertEquals("0.2", refused.headers["retry-after"])
    }

    @Test
    fun `calls of a service whose callers don't differ in priority don't wait`() {
        configure(setOf("/other"))
        val refused = call("/other")

        assertEquals(503, refused.status)
        assertTrue(waitingCalls.count <= 1)
    }

    private fun call(path: String) = RecordingResponse().also {
        handler.handle(HttpRequestMessage("POST", "$path/1"), it)
        runDue()
    }

    private fun answer(index: Int) {
        http.listeners[index].onHead(200, HeaderFields())
        http.listeners[index].onBodyChunk("done".toByteArray())
        http.listeners[index].onComplete()
        runDue()
    }

    private fun runDue() {
        while (due.isNotEmpty()) due.removeFirst()()
    }

    private fun configure(
        paths: Set<String>,
        keys: Set<String> = emptySet(),
    ) {
        val workspaces = keys.map { Workspace(WorkspaceId(it), setOf(it), priority = null) }
        val configured = paths.map { route(it, routes.getValue(it)) }
        val configuration = ServingConfiguration(1, configured, listOf(desk), workspaces, CallerLimits())
        val targets = mapOf(desk.name to listOf(targetEntry("a")))
        state.view = TrafficView(catalog = Catalog(configuration), plainTargets = targets)
    }

    private fun route(
        path: String,
        priority: Int,
    ) = Route(
        name = path,
        host = "h",
        prefix = "$path/",
        kind = CallKind.NON_IDEMPOTENT,
        services = listOf(WeightedService(desk.name, 1)),
        timeoutMilliseconds = 4_000,
        latencyGoalMilliseconds = 500,
        priority = priority,
        maxAttempts = 1,
        isPublic = false,
        isResumable = false,
        maxEventGapMilliseconds = 0,
    )
}
