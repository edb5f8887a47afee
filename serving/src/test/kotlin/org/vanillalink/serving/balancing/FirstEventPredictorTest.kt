package org.vanillalink.serving.balancing

import org.vanillalink.serving.catalog.EngineDefinition
import org.vanillalink.serving.catalog.ModelDefinition
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

internal class FirstEventPredictorTest {
    private val models = listOf(ModelDefinition("m", 4, 0.5, 0.6, 12_000, 1_100))
    private val engine =
        EngineDefinition(24, models, 6.07, 0.34, 46_000.0, 5, 14.0, 21, 300, 1, usualPromptTokens = 841)
    private val times = EngineTimes.of(engine, "m")!!
    private val testSubject = FirstEventPredictor()

    // Guards against late first events of all requests in a burst, since each group takes as many as it has slots.
    @Test
    fun `a group takes as many requests as keep the goal, by what first events lately took`() {
        assertEquals(25, maxRequests(goal = 250))
        repeat(100) { observe(delay = 100) }

        assertTrue(maxRequests(goal = 250) in 19..22, "${maxRequests(goal = 250)}")
        assertEquals(25, maxRequests(goal = 1_000))
    }

    // Guards against refusals where first events are late for another reason than load.
    @Test
    fun `three quarters of the slots are used however late first events are`() {
        repeat(100) { observe(delay = 900) }

        assertEquals(19, maxRequests(goal = 250))
    }

    // Guards against refusals by sound groups while some others stand.
    @Test
    fun `a few very late first events don't change what is usual`() {
        repeat(100) { observe(delay = 80) }
        val before = maxRequests(goal = 250)
        repeat(100) { observe(delay = if (it % 10 == 0) 900 else 80) }

        assertTrue(before - maxRequests(goal = 250) <= 1)
    }

    private fun observe(delay: Long) {
        val prediction = testSubject.predict("m", times, 10, engine.usualPromptTokens)
        testSubject.record("m", prediction, prediction.byEngine + delay)
    }

    private fun maxRequests(goal: Long) = testSubject.maxRequests("m", times, engine.slots, goal)
}
