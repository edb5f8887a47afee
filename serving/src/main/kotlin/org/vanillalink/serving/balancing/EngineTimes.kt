/*
 * How long a batching engine takes, by the times that its operator publishes for it.
 *
 * A group processes its work in passes. A pass with writers executes several steps, and each of them takes longer the
 * more requests are writing and the longer their contexts are. Prompts are read within the passes, and events are sent
 * at the end of each. Real groups take longer than this: requests travel, and members differ. [FirstEventPredictor]
 * corrects the prediction by what was observed.
 */
package org.vanillalink.serving.balancing

import org.vanillalink.serving.catalog.EngineDefinition
import kotlin.math.ceil

/** The times of one model's groups in milliseconds. */
class EngineTimes private constructor(
    private val engine: EngineDefinition,
    private val timeFactor: Double,
) {
    val usualPromptTokens: Int get() = engine.usualPromptTokens

    /** A pass of a group with [writers] requests that write, in which [promptTokens] tokens of a prompt are read. */
    fun pass(
        writers: Int,
        promptTokens: Int = engine.usualPromptTokens,
    ): Double = (steps(writers) * step(writers) + reading(promptTokens)) * timeFactor

    /** The time from the arrival of one more request with [promptTokens] at a group with [requests] to its event. */
    fun firstEvent(
        requests: Int,
        promptTokens: Int,
    ): Double {
        val writers = minOf(requests, engine.slots)
        val underWay = if (writers > 0) pass(writers) / 2 else 0.0
        val whileReading = readingPasses(writers, promptTokens) * steps(writers) * step(writers) + reading(promptTokens)
        return queueing(requests) + underWay + whileReading * timeFactor + pass(writers + 1, 0)
    }

    /** The time until a slot is free for one more request, where [requests] are at the group. */
    private fun queueing(requests: Int): Double {
        val ahead = requests - engine.slots + 1
        if (ahead <= 0) return 0.0
        val answerPasses = ceil(engine.usualAnswerTokens.toDouble() / maxOf(1, engine.stepsPerPass))
        return ahead * answerPasses * pass(engine.slots) / engine.slots
    }

    private fun steps(writers: Int): Int = if (writers > 0) maxOf(1, engine.stepsPerPass) else 1

    private fun step(writers: Int): Double {
        val contextTokens = engine.usualPromptTokens + engine.usualAnswerTokens / 2.0
        val perWriter = engine.perSequenceMilliseconds + contextTokens / THOUSAND * engine.contextMilliseconds
        return engine.stepMilliseconds + minOf(writers, engine.slots) * perWriter
    }

    private fun reading(tokens: Int): Double {
        val pairs = tokens.toDouble() * tokens / 2
        return tokens * THOUSAND / engine.prefillTokensPerSecond + pairs / MILLION * engine.pairsMilliseconds
    }

    private fun readingPasses(
        writers: Int,
        tokens: Int,
    ): Int {
        if (engine.chunkTokens <= 0) return 1
        return maxOf(1, ceil(tokens.toDouble() / (engine.chunkTokens * steps(writers))).toInt())
    }

    companion object {
        private const val THOUSAND = 1_000.0
        private const val MILLION = 1_000_000.0

        /** The times of [model] at [engine], or null where the engine publishes none. */
        fun of(
            engine: EngineDefinition,
            model: String,
        ): EngineTimes? {
            if (engine.stepMilliseconds <= 0 || engine.prefillTokensPerSecond <= 0) return null
            val timeFactor = engine.models.firstOrNull { it.name == model }?.timeFactor ?: 1.0
            return EngineTimes(engine, timeFactor.takeIf { it > 0 } ?: 1.0)
        }
    }
}
