package org.vanillalink.gateway.traffic

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.vanillalink.gateway.logs.DecisionInputs
import org.vanillalink.gateway.logs.RequestLogger
import org.vanillalink.gateway.ports.GatewayLimits
import org.vanillalink.gateway.ports.RequestMetadata
import org.vanillalink.model.Endpoint
import org.vanillalink.model.HostId
import org.vanillalink.model.ServiceName
import org.vanillalink.serving.balancing.RequestFingerprint
import org.vanillalink.serving.balancing.RequestSignature
import org.vanillalink.serving.balancing.RequestWork
import org.vanillalink.serving.catalog.CallKind
import org.vanillalink.serving.catalog.EngineDefinition
import org.vanillalink.serving.catalog.ModelDefinition
import org.vanillalink.serving.catalog.Route
import org.vanillalink.serving.catalog.ServiceDefinition
import org.vanillalink.serving.targets.GroupKey
import org.vanillalink.transport.HeaderFields
import org.vanillalink.transport.HttpRequestMessage
import org.vanillalink.transport.ScheduledAction
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Streams at groups that stand still, with a goal of 250 ms to the first event. */
internal class StandingGroupTest {
    private val models = listOf(ModelDefinition("m0", 2, 1.0, 1.0, 16_000, 1_600))
    private val engine = EngineDefinition(18, models, 6.0, 0.35, 46_000.0, 5, 4.0, 6, 300, 1)
    private val service = ServiceDefinition(ServiceName("desk"), "/health", 10, 0.0, engine)
    private val route =
        Route("r", "h", "/", CallKind.STREAM, emptyList(), 6_000, 250, 0, 2, isPublic = true, isResumable = true, 200)
    private val groups =
        listOf("t-1", "t-2", "t-3").mapIndexed { index, id ->
            RoutableGroup(GroupKey("g-$id", 1), "m0", targetEntry(id).copy(endpoint = Endpoint("127.0.0.1", index)))
        }
    private val state = TrafficState(GatewayLimits(), Random(1)).apply { view = TrafficView(groups = groups) }
    private val http = FakeHttpClient()
    private val calls = ActiveCalls()
    private val metrics = SimpleMeterRegistry()
    private var now = 0L
    private val context =
        CallContext(
            state,
            http,
            FakeCallProtocol,
            RequestLogger(metrics, { now }, { DecisionInputs(null, null, 1, 0) }),
            calls,
            { now },
            { _, _ -> ScheduledAction {} },
        )

    // Guards against first attempts at a group whose streams have missed their passes.
    @Test
    fun `requests go to other groups while the streams of one have missed passes, and back with its next byte`() {
        val silent = startWriting()
        checkAt(200)
        assertTrue(state.groupProgress.standing.isStanding(silent.currentGroup!!))
        groups.filter { it.head.id != silent.currentTarget }.forEach { state.inFlight.recordStart(it.head.id) }
        assertFalse(silent.currentTarget in chooseRepeatedly())

        now = 400
        http.listeners[0].onBodyChunk("id: 1\ndata: x\n\n".toByteArray())
        assertTrue(silent.currentTarget in chooseRepeatedly())
        assertEquals(1, http.listeners.size)
    }

    // Guards against second attempts that begin 1.2 s after the request, against a goal of 250 ms.
    @Test
    fun `a request at a group that turns out to stand gets a second attempt in time for its goal`() {
        val silent = startWriting()
        now = 130
        val waiting = startAt(silent.currentTarget!!)
        checkAt(200)

        assertEquals(3, http.listeners.size)
        assertFalse(http.isClosed)
        http.last.onHead(200, HeaderFields())
        http.last.onBodyChunk("id: 0\ndata: x\n\n".toByteArray())
        assertEquals(listOf(1), http.closed)
        assertTrue(waiting.attempts.trail.contains("!group-standing"), waiting.attempts.trail.toString())
        assertEquals(1.0, metrics.counter("vanillalink.hedges", "reason", "group-standing", "needed", "true").count())
    }

    @Test
    fun `a request that can't make its goal any more gets none`() {
        val silent = startWriting()
        now = 10
        startAt(silent.currentTarget!!)
        checkAt(240)

        assertEquals(2, http.listeners.size)
    }

    // Guards against second attempts that add load where all requests are late.
    @Test
    fun `a late request at a group whose streams go on gets none`() {
        val writing = startWriting()
        startAt(writing.currentTarget!!)
        for (time in 50L..1_000L step 50) {
            now = time
            http.listeners[0].onBodyChunk("id: ${time / 50}\ndata: x\n\n".toByteArray())
            checkAt(time)
        }

        assertEquals(2, http.listeners.size)
    }

    @Test
    fun `a group gets requests although it stands if there is no other one`() {
        startWriting()
        state.view = TrafficView(groups = groups.filter { it.head.id == calledTarget(0) })
        checkAt(200)

        assertEquals(setOf(calledTarget(0)), chooseRepeatedly())
    }

    @Test
    fun `a trial is sent when it is due, and gets a second attempt while it can make its goal`() {
        startWriting()
        checkAt(200)
        val standing = calledTarget(0)
        now = 3_000
        val trial = start()
        assertEquals(standing, trial.currentTarget)
        assertFalse(standing in chooseRepeatedly())
        checkAt(3_150)

        assertTrue(trial.attempts.trail.contains("!trial-silent"), trial.attempts.trail.toString())
    }

    private fun checkAt(time: Long) {
        now = time
        state.detectStalls(time)
        state.groupProgress.detectStanding(time)
        calls.hedgeLateCalls()
    }

    private fun calledTarget(attempt: Int): HostId = groups[http.endpoints[attempt].port].head.id

    private fun chooseRepeatedly(): Set<HostId> =
        (1..50).mapNotNull { state.chooseTarget(service, "m0", emptySet(), now)?.entry?.id }.toSet()

    private fun startWriting(): StreamCall = start().also {
        http.last.onHead(200, HeaderFields())
        http.last.onBodyChunk("id: 0\ndata: x\n\n".toByteArray())
    }

    private fun startAt(target: HostId): StreamCall {
        val view = state.view
        state.view = TrafficView(groups = groups.filter { it.head.id == target })
        return start().also { state.view = view }
    }

    private fun start(): StreamCall {
        val metadata = RequestMetadata("id", "h", 6_000, null, "m0", null, 0, listOf("p"))
        val signature = RequestSignature(RequestFingerprint("f"), listOf("p"))
        val work = RequestWork(goalAt = now + route.latencyGoalMilliseconds)
        val message = HttpRequestMessage("POST", "/")
        val request =
            AdmittedRequest(message, metadata, route, service, null, now, now + 6_000, now + 6_000, signature, work)
        return StreamCall(context, request, RecordingResponse()).apply { startFirstAttempt() }
    }
}
