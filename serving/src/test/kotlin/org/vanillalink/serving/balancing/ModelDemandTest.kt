package org.vanillalink.serving.balancing

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

internal class ModelDemandTest {
    @Test
    fun `the occupancy is the mean time of recent answers, and a second until there is one`() {
        val demand = ModelDemand()
        assertEquals(1_000.0, demand.occupancyMilliseconds("m0", now = 0))
        demand.recordRequest("m0", now = 0)
        demand.recordCompletion("m0", 400, now = 0)
        demand.recordCompletion("m0", 800, now = 0)

        assertEquals(600.0, demand.occupancyMilliseconds("m0", now = 100), absoluteTolerance = 0.01)
    }

    private val testSubject = ModelDemand()

    @Test
    fun `steady demand is the request rate times the time that each request takes`() {
        recordSteadyRequests("small", perSecond = 100, milliseconds = 1_200, until = 30_000)

        assertEquals(120.0, testSubject.slotDemand(30_000).getValue("small"), absoluteTolerance = 6.0)
    }

    @Test
    fun `refused requests count like others`() {
        recordSteadyRequests("small", perSecond = 100, milliseconds = 1_200, until = 30_000, requestsPerCompletion = 2)

        assertEquals(120.0, testSubject.slotDemand(30_000).getValue("small"), absoluteTolerance = 6.0)
    }

    @Test
    fun `a one-second burst is smoothed, and a lasting rise shows within a few seconds`() {
        recordSteadyRequests("small", perSecond = 100, milliseconds = 1_000, until = 30_000)
        recordSteadyRequests("small", perSecond = 200, milliseconds = 1_000, from = 30_000, until = 31_000)
        assertTrue(testSubject.slotDemand(31_000).getValue("small") < 130.0)

        recordSteadyRequests("small", perSecond = 200, milliseconds = 1_000, from = 31_000, until = 38_000)
        assertTrue(testSubject.slotDemand(38_000).getValue("small") > 180.0)
    }

    @Test
    fun `a model without further requests has no demand`() {
        recordSteadyRequests("small", perSecond = 100, milliseconds = 1_000, until = 10_000)

        assertTrue("small" !in testSubject.slotDemand(120_000))
    }

    @Test
    fun `a model without a complete answer has no estimate yet`() {
        testSubject.recordRequest("small", 0)

        assertEquals(emptyMap(), testSubject.slotDemand(0))
    }

    @Test
    fun `invented model names take a limited amount of memory`() {
        (0 until 10_000).forEach {
            testSubject.recordCompletion("made-up-$it", 10, 0).also { _ ->
                testSubject.recordRequest("x$it", 0)
            }
        }

        assertTrue(testSubject.slotDemand(0).size <= 100)
    }

    private fun recordSteadyRequests(
        model: String,
        perSecond: Int,
        milliseconds: Long,
        from: Long = 0,
        until: Long,
        requestsPerCompletion: Int = 1,
    ) {
        (from until until step 1_000L / perSecond).forEachIndexed { index, at ->
            testSubject.recordRequest(model, at)
            if (index % requestsPerCompletion == 0) testSubject.recordCompletion(model, milliseconds, at)
        }
    }
}
