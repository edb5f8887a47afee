/*
 * How many places in groups callers of each model ask for at once: how often they come, times how long one is taken.
 *
 * Requests that are refused count as well, or a model that is short would look as if it were not. The time that a place
 * is taken is measured on answers that came whole, so it follows the engine's batches and the callers' prompts.
 */
package org.vanillalink.serving.balancing

import kotlin.math.exp

/** Times are milliseconds on the steady clock. Not thread safe. */
class ModelDemand {
    private class DecayingSum(
        private val timeConstantMilliseconds: Double,
    ) {
        private var sum = 0.0
        private var updatedAt = 0L

        fun add(
            amount: Double,
            now: Long,
        ) {
            sum = value(now) + amount
            updatedAt = now
        }

        fun value(now: Long): Double = sum * exp(-(now - updatedAt) / timeConstantMilliseconds)
    }

    private class ModelStatistics {
        val arrivals = DecayingSum(ARRIVAL_TIME_CONSTANT_MILLISECONDS)
        val completions = DecayingSum(COMPLETION_TIME_CONSTANT_MILLISECONDS)
        val occupiedMilliseconds = DecayingSum(COMPLETION_TIME_CONSTANT_MILLISECONDS)
    }

    private val models = HashMap<String, ModelStatistics>()

    /** A caller asks for [model]. */
    fun recordRequest(
        model: String,
        now: Long,
    ) {
        findOrCreate(model)?.arrivals?.add(1.0, now)
    }

    /** A whole answer of [model] took a place for [milliseconds]. */
    fun recordCompletion(
        model: String,
        milliseconds: Long,
        now: Long,
    ) {
        val statistics = findOrCreate(model) ?: return
        statistics.completions.add(1.0, now)
        statistics.occupiedMilliseconds.add(milliseconds.toDouble(), now)
    }

    /** The places asked for by model; models without a whole answer of late are left out. */
    fun slotDemand(now: Long): Map<String, Double> {
        models.values.removeIf { it.arrivals.value(now) < NEGLIGIBLE_COUNT }
        return models.filterValues { it.completions.value(now) >= NEGLIGIBLE_COUNT }.mapValues { (_, statistics) ->
            val arrivalsPerMillisecond = statistics.arrivals.value(now) / ARRIVAL_TIME_CONSTANT_MILLISECONDS
            arrivalsPerMillisecond * statistics.occupiedMilliseconds.value(now) / statistics.completions.value(now)
        }
    }

    /** Callers may name any model, so no more than [MAX_MODELS] are counted. */
    private fun findOrCreate(model: String): ModelStatistics? {
        if (model !in models && models.size >= MAX_MODELS) return null
        return models.getOrPut(model) { ModelStatistics() }
    }

    private companion object {
        /** A burst of a second moves the measure by a fifth, and a new level is seen after a few. */
        const val ARRIVAL_TIME_CONSTANT_MILLISECONDS = 4_000.0

        /** Longer than a broken group's answers are missing. */
        const val COMPLETION_TIME_CONSTANT_MILLISECONDS = 10_000.0

        /** A single request of half a minute ago. */
        const val NEGLIGIBLE_COUNT = 0.001

        /** Far more than one deployment serves. */
        const val MAX_MODELS = 100
    }
}
