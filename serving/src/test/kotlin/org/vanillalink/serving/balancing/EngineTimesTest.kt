package org.vanillalink.serving.balancing

import org.vanillalink.serving.catalog.EngineDefinition
import org.vanillalink.serving.catalog.ModelDefinition
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

internal class EngineTimesTest {
    private val models = listOf(ModelDefinition("m0", 8, 0.5, 1.0, 0, 0), ModelDefinition("m1", 4, 0.5, 0.5, 0, 0))
    private val engine =
        EngineDefinition(
            slots = 20,
            models = models,
            stepMilliseconds = 6.0,
            perSequenceMilliseconds = 0.2,
            prefillTokensPerSecond = 50_000.0,
            stepsPerPass = 5,
            loadsPerSecond = 4.0,
            concurrentLoads = 6,
            openMilliseconds = 300,
            stagedModelsPerHost = 1,
            chunkTokens = 1_000,
            usualAnswerTokens = 100,
        )
    private val testSubject = EngineTimes.of(engine, "m0")!!

    @Test
    fun `a pass takes its steps, longer with each writer, and the reading of prompts`() {
        assertEquals(50.0, testSubject.pass(writers = 20), 0.01)
        assertEquals(60.0, testSubject.pass(writers = 20, promptTokens = 500), 0.01)
        assertEquals(6.0, testSubject.pass(writers = 0), 0.01)
        assertEquals(25.0, EngineTimes.of(engine, "m1")!!.pass(writers = 20), 0.01)
    }

    @Test
    fun `pairs of tokens and contexts take their time where they are published`() {
        val times = EngineTimes.of(engine.copy(contextMilliseconds = 0.1, pairsMilliseconds = 2.0), "m0")!!

        assertEquals(5 * (6 + 10 * 0.205) + 40 + 4, times.pass(writers = 10, promptTokens = 2_000), 0.01)
    }

    @Test
    fun `a first event waits for the pass under way, the reading, and a pass that writes`() {
        // 40 / 2 + 40 + 10 + 41
        assertEquals(111.0, testSubject.firstEvent(requests = 10, promptTokens = 500), 0.01)
        assertTrue(testSubject.firstEvent(10, 6_000) > testSubject.firstEvent(10, 5_000) + 40)
    }

    @Test
    fun `a first event is later by the wait for a slot where all are taken`() {
        val first = testSubject.firstEvent(requests = 19, promptTokens = 500)

        assertEquals(50.0, testSubject.firstEvent(requests = 20, promptTokens = 500) - first, 2.0)
        assertEquals(150.0, testSubject.firstEvent(requests = 22, promptTokens = 500) - first, 2.0)
    }

    @Test
    fun `nothing is predicted where the engine publishes no times`() {
        assertNull(EngineTimes.of(engine.copy(stepMilliseconds = 0.0), "m0"))
    }

    // Guards against second attempts in a fleet whose requests are all late.
    @Test
    fun `first events that are all late make the usual time longer, and a single one hardly does`() {
        val predictor = FirstEventPredictor()
        val prediction = predictor.predict("m0", testSubject, 10, 500)
        assertEquals(FirstEventPrediction(111, 111), prediction)

        predictor.record("m0", prediction, 1_000)
        assertTrue(predictor.predict("m0", testSubject, 10, 500).usual < 170)
        repeat(60) { predictor.record("m0", prediction, 444) }
        assertTrue(predictor.predict("m0", testSubject, 10, 500).usual in 400..460)
    }
}
