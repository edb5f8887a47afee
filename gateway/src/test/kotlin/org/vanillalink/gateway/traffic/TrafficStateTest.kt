package org.vanillalink.gateway.traffic

import org.vanillalink.gateway.ports.GatewayLimits
import org.vanillalink.gateway.ports.ResponseMetadata
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.HostId
import org.vanillalink.model.ServiceName
import org.vanillalink.serving.catalog.EngineDefinition
import org.vanillalink.serving.catalog.ServiceDefinition
import org.vanillalink.serving.targets.GroupKey
import org.vanillalink.serving.targets.TargetEntry
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

internal class TrafficStateTest {
    private val plainService = ServiceDefinition(ServiceName("desk"), "/health", 100, 0.0, engine = null)
    private val engine =
        EngineDefinition(SLOTS, emptyList(), 6.0, 0.3, 46_000.0, 5, 4.0, 6, 300, stagedModelsPerHost = 1)
    private val engineService = ServiceDefinition(ServiceName("desk"), "/health", 100, 0.0, engine)
    private val first = targetEntry("d-1")
    private val second = targetEntry("d-2")
    private val leaving =
        ResponseMetadata("r-1", true, false, null, false, isLeaving = true, retryAfterMilliseconds = null)
    private val testSubject =
        TrafficState(GatewayLimits(), Random(1)).apply {
            view = TrafficView(plainTargets = mapOf(plainService.name to listOf(first, second)))
        }

    // Guards against requests sent to a target after it announced its leaving, while its entry still lists it.
    @Test
    fun `a target that announced its leaving gets no new requests, whatever the registry lists`() {
        testSubject.recordMetadata(first, leaving, now = 1_000)

        assertEquals(setOf(second.id), chooseRepeatedly(now = 1_000))
        testSubject.view = TrafficView(plainTargets = mapOf(plainService.name to listOf(first, second)))
        assertEquals(setOf(second.id), chooseRepeatedly(now = 60_000))
    }

    @Test
    fun `a retry is not sent to a target that announced its leaving`() {
        testSubject.recordMetadata(first, leaving, now = 1_000)

        assertNull(testSubject.chooseTarget(plainService, null, excludedTargets = setOf(second.id), now = 1_000))
    }

    @Test
    fun `a new instance of a target that left is chosen`() {
        testSubject.recordMetadata(first, leaving, now = 1_000)
        testSubject.view = TrafficView(plainTargets = mapOf(plainService.name to listOf(first.copy(bornAt = 2))))

        assertEquals(setOf(first.id), chooseRepeatedly(now = 1_100))
    }

    // Guards against requests to a target that has refused one with a Retry-After that is not over yet.
    @Test
    fun `requests go to the other targets while one backs off`() {
        testSubject.recordMetadata(first, backingOff(2_000), now = 1_000)

        assertEquals(setOf(second.id), chooseRepeatedly(now = 1_000))
        assertEquals(setOf(second.id), chooseRepeatedly(now = 2_999))
        assertNull(testSubject.retryAfterMilliseconds(plainService, null, now = 1_000))
        assertEquals(setOf(first.id, second.id), chooseRepeatedly(now = 3_000))
    }

    @Test
    fun `the shortest remaining Retry-After is returned when all targets back off`() {
        testSubject.recordMetadata(first, backingOff(2_000), now = 1_000)
        testSubject.recordMetadata(second, backingOff(1_500), now = 1_000)

        assertEquals(emptySet(), chooseRepeatedly(now = 1_000))
        assertEquals(1_500, testSubject.retryAfterMilliseconds(plainService, null, now = 1_000))
    }

    // Guards against refusals while a group that was only avoided after a failure has capacity.
    @Test
    fun `a recently avoided group is chosen when the other groups have no capacity`() {
        val heads = listOf(targetEntry("h-1"), targetEntry("h-2"))
        testSubject.view = groupsOf(heads)
        repeat(SLOTS + 1) { testSubject.recordSent(heads[0], now = 1_000) }
        testSubject.avoid(heads[1].id, now = 1_000)

        assertEquals(heads[1].id, testSubject.chooseTarget(engineService, "m0", emptySet(), now = 1_100)?.entry?.id)
    }

    // Guards against refusals while a group that has only stalled briefly, on its first prompts, has capacity.
    @Test
    fun `a briefly stalled group is chosen when the other groups have no capacity`() {
        val heads = listOf(targetEntry("h-1"), targetEntry("h-2"))
        testSubject.view = groupsOf(heads)
        repeat(SLOTS + 1) { testSubject.recordSent(heads[0], now = 1_290) }
        testSubject.recordSent(heads[1], now = 1_000)
        testSubject.detectStalls(now = 1_300)

        assertEquals(heads[1].id, testSubject.chooseTarget(engineService, "m0", emptySet(), now = 1_300)?.entry?.id)
    }

    @Test
    fun `a group stalled for long is not chosen while other groups only lack capacity`() {
        val heads = listOf(targetEntry("h-1"), targetEntry("h-2"))
        testSubject.view = groupsOf(heads)
        repeat(SLOTS + 1) { testSubject.recordSent(heads[0], now = 1_990) }
        testSubject.recordSent(heads[1], now = 1_000)
        testSubject.detectStalls(now = 2_000)

        assertNull(testSubject.chooseTarget(engineService, "m0", emptySet(), now = 2_000))
    }

    // Guards against late first events of all requests in a burst, since each group takes as many as it has slots.
    @Test
    fun `a group that would miss the goal gets only requests with more time or a place in its queue`() {
        val head = targetEntry("h-1")
        testSubject.view = groupsOf(listOf(head))
        repeat(SLOTS * 3 / 4 + 1) { testSubject.recordSent(head, now = 1_000) }

        assertNull(chooseWithin(goal = 1))
        assertEquals(head.id, chooseWithin(goal = 10_000))
        assertEquals(head.id, chooseWithin(goal = 1, limitPerSlot = 1.25))
    }

    private fun chooseWithin(
        goal: Long,
        limitPerSlot: Double? = null,
    ): HostId? {
        val preferences = TargetPreferences(limitPerSlot = limitPerSlot, goalMilliseconds = goal)
        return testSubject.chooseTarget(engineService, "m0", emptySet(), 1_000, preferences)?.entry?.id
    }

    // Guards against streams that cross failure domains, and break with either of them, while groups nearby have room.
    @Test
    fun `requests go to groups of the own failure domain until these have much more load than others`() {
        val near = targetEntry("h-1")
        val far = targetEntry("h-2").copy(failureDomain = FailureDomainId("apapa"))
        val groups = listOf(near, far).map { RoutableGroup(GroupKey("g-${it.id}", 1), "m0", it) }
        testSubject.view = TrafficView(groups = groups, failureDomain = near.failureDomain)
        val chosen =
            (1..SLOTS).mapNotNull {
                val choice = testSubject.chooseTarget(engineService, "m0", emptySet(), now = 1_000)
                choice?.entry?.also { testSubject.recordSent(it, now = 1_000) }?.id
            }

        assertEquals(List(4) { near.id }, chosen.take(4))
        assertEquals(setOf(near.id, far.id), chosen.toSet())
    }

    // Guards against second attempts again and again beside streams that go on, until none is left for a real loss.
    @Test
    fun `targets of a failure domain that was silent for a moment count as reachable once one of them goes on`() {
        val heads = listOf(targetEntry("h-1"), targetEntry("h-2"))
        testSubject.view = groupsOf(heads)
        heads.forEach { testSubject.recordSent(it, now = 1_000) }
        testSubject.detectStalls(now = 1_700)
        assertEquals(heads.map { it.id }.toSet(), testSubject.unreachableTargets())

        heads.forEach {
            testSubject.stallDetector.recordProgress(it.id, now = 2_500, isFirst = true)
            testSubject.reachabilityMonitor.recordTargetProgress(it.failureDomain, now = 2_500)
        }
        testSubject.detectStalls(now = 2_550)

        assertEquals(emptySet(), testSubject.unreachableTargets())
    }

    @Test
    fun `a leaving target is reported until the start of the window passes its announcement`() {
        testSubject.recordMetadata(first, leaving, now = 1_000)

        assertEquals(setOf(first.instance), testSubject.leavingSince(999))
        assertEquals(emptySet(), testSubject.leavingSince(1_000))
    }

    // Guards against requests that wait at a target, or are refused, because another one has named a limit.
    @Test
    fun `requests go to the other targets while the limit of one is used up`() {
        nameLimit(first, 0.5)
        repeat(10) {
            testSubject.recordSent(first, now = 1_000)
            testSubject.recordEnded(first.id, hasResponseBegun = true)
        }

        assertEquals(setOf(second.id), chooseRepeatedly(now = 1_000))
        assertEquals(setOf(first.id, second.id), chooseRepeatedly(now = 60_000))
    }

    @Test
    fun `a refusal names the time until a limit allows a request and, in the log, the limit and the share`() {
        nameLimit(first, 0.5)
        nameLimit(second, 0.5)
        assertEquals(setOf(first.id, second.id), chooseRepeatedly(now = 1_000))
        repeat(5) {
            testSubject.recordSent(first, now = 1_000)
            testSubject.recordSent(second, now = 1_000)
        }

        assertEquals(emptySet(), chooseRepeatedly(now = 1_000))
        val delay = testSubject.retryAfterMilliseconds(plainService, null, now = 1_000) ?: 0
        assertTrue(delay in 1..10_000, "$delay")
        val description = testSubject.describe(plainService, null, now = 1_000)
        assertTrue("limited=2" in description && "limit=0.5:share=0.5:in=${delay}ms" in description, description)
    }

    @Test
    fun `a limit and the limit of a cold target apply together`() {
        val coldService = plainService.copy(coldRequestsPerSecond = 2.0)
        testSubject.view = TrafficView(plainTargets = mapOf(plainService.name to listOf(first)))
        nameLimit(first, 100.0)
        testSubject.recordSent(first, now = 1_000)
        testSubject.recordSent(first, now = 1_000)

        assertNull(testSubject.chooseTarget(coldService, null, emptySet(), now = 1_000))
        assertEquals(first.id, testSubject.chooseTarget(coldService, null, emptySet(), now = 2_100)?.entry?.id)
    }

    // Guards against the response to another request, or a rejection, that ends a limit.
    @Test
    fun `only the own response of a request sent after the limit was named ends it`() {
        nameLimit(first, 0.5)
        val limitedTargets = testSubject.limitedTargets
        val response = leaving.copy(isLeaving = false)
        limitedTargets.recordResponse(first.instance, response, isUsable = false, sentAt = 1_100, now = 1_200)
        limitedTargets.recordResponse(first.instance, response.copy(isNotRun = true), true, sentAt = 1_100, now = 1_200)
        assertEquals(0.5, limitedTargets.limits.find(first.instance))

        limitedTargets.recordResponse(first.instance, response, isUsable = true, sentAt = 1_100, now = 1_200)
        assertNull(limitedTargets.limits.find(first.instance))
    }

    private fun nameLimit(
        target: TargetEntry,
        limit: Double,
    ) = testSubject.limitedTargets.limits.recordNamed(target.instance, limit, now = 1_000)

    private fun groupsOf(heads: List<TargetEntry>) =
        TrafficView(groups = heads.map { RoutableGroup(GroupKey("g-${it.id}", 1), "m0", it) })

    private fun chooseRepeatedly(now: Long): Set<HostId> = (1..CHOICES)
        .mapNotNull { testSubject.chooseTarget(plainService, null, emptySet(), now) }
        .map { it.entry.id }
        .toSet()

    private fun backingOff(milliseconds: Long) = leaving.copy(isLeaving = false, retryAfterMilliseconds = milliseconds)

    private companion object {
        const val SLOTS = 12

        /** Enough that each of two equal targets is chosen at least once. */
        const val CHOICES = 50
    }
}
