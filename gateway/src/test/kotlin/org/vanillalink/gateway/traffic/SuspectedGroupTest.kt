package org.vanillalink.gateway.traffic

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.vanillalink.gateway.logs.DecisionInputs
import org.vanillalink.gateway.logs.RequestLogger
import org.vanillalink.gateway.ports.GatewayLimits
import org.vanillalink.gateway.ports.RequestMetadata
import org.vanillalink.model.HostId
import org.vanillalink.model.ServiceName
import org.vanillalink.serving.balancing.RequestFingerprint
import org.vanillalink.serving.balancing.RequestSignature
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

/** Streams at groups whose controller suspects a member. */
internal class SuspectedGroupTest {
    private val models = listOf(ModelDefinition("m0", 2, 1.0, 1.0, 16_000, 1_600))
    private val engine = EngineDefinition(18, models, 6.0, 0.35, 46_000.0, 5, 4.0, 6, 300, 1)
    private val service = ServiceDefinition(ServiceName("desk"), "/health", 10, 0.0, engine)
    private val route =
        Route("r", "h", "/", CallKind.STREAM, emptyList(), 8_000, 500, 1, 2, isPublic = true, isResumable = true, 300)
    private val groups = listOf("t-1", "t-2").map { RoutableGroup(GroupKey("g-$it", 1), "m0", targetEntry(it)) }
    private val state = TrafficState(GatewayLimits(), Random(1)).apply { view = TrafficView(groups = groups) }
    private val http = FakeHttpClient()
    private val testSubject = ActiveCalls()
    private val context =
        CallContext(
            state,
            http,
            FakeCallProtocol,
            RequestLogger(SimpleMeterRegistry(), { 0 }, { DecisionInputs(null, null, 1, 0) }),
            testSubject,
            { 0 },
            { _, _ -> ScheduledAction {} },
        )

    // Guards against streams that wait for a group that lost a member, since it is dissolved later than it was, so that
    // its members aren't used elsewhere for as long.
    @Test
    fun `a stalled stream gets a second attempt as soon as its group is not announced any more`() {
        val call = start()
        val current = call.currentGroup!!
        testSubject.hedgeAtSuspectedGroups(headsOf(groups), groups.map { it.key }.toSet() - current)

        assertEquals(2, http.listeners.size)
        assertFalse(http.isClosed)
    }

    @Test
    fun `a stalled stream at an announced group gets none`() {
        start()
        testSubject.hedgeAtSuspectedGroups(headsOf(groups), groups.map { it.key }.toSet())

        assertEquals(1, http.listeners.size)
    }

    // Guards against second attempts beside the streams of a group that closes and whose members are sound.
    @Test
    fun `a stream that goes on at a group that is not announced any more gets none`() {
        start()
        testSubject.hedgeAtSuspectedGroups(emptySet(), emptySet())

        assertEquals(1, http.listeners.size)
    }

    private fun headsOf(groups: List<RoutableGroup>): Set<HostId> = groups.map { it.head.id }.toSet()

    private fun start(): StreamCall {
        val metadata = RequestMetadata("id", "h", 8_000, null, "m0", null, 0, listOf("p"))
        val signature = RequestSignature(RequestFingerprint("f"), listOf("p"))
        val message = HttpRequestMessage("POST", "/")
        val request = AdmittedRequest(message, metadata, route, service, null, 0, 8_000, 8_000, signature)
        val call = StreamCall(context, request, RecordingResponse()).apply { startFirstAttempt() }
        http.last.onHead(200, HeaderFields())
        http.last.onBodyChunk("id: 0\ndata: x\n\n".toByteArray())
        return call
    }
}
