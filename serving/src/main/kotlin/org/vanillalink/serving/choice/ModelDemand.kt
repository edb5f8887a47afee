/*
 * How many places in groups callers of each model ask for at once: how often they come, times how long one is taken.
 *
 * Requests that are refused count as well, or a model that is short would look as if it were not. The time that a place
 * is taken is measured on answers that came whole, so it follows the engine's batches and the callers' prompts.
 */
package org.vanillalink.serving.choice

import kotlin.math.exp

/** Times are milliseconds on the steady clock. Not thread safe. */
class ModelDemand {
    private class Decaying(
        private val memory: Double,
    ) {
        private var sum = 0.0
        private var at = 0L

        fun add(
            amount: Double,
            now: Long,
        ) {
            sum = value(now) + amount
            at = now
        }

        fun value(now: Long): Double = sum * exp(-(now - at) / memory)
    }

    private class Model {
        val arrivals = Decaying(ARRIVAL_MEMORY_MILLISECONDS)
        val ends = Decaying(WORK_MEMORY_MILLISECONDS)
        val work = Decaying(WORK_MEMORY_MILLISECONDS)
    }

    private val models = HashMap<String, Model>()

    /** A caller asks for [model]. */
    fun asked(
        model: String,
        now: Long,
    ) {
        of(model)?.arrivals?.add(1.0, now)
    }

    /** A whole answer of [model] took a place for [milliseconds]. */
    fun worked(
        model: String,
        milliseconds: Long,
        now: Long,
    ) {
        val counts = of(model) ?: return
        counts.ends.add(1.0, now)
        counts.work.add(milliseconds.toDouble(), now)
    }

    /** The places asked for by model; models without a whole answer of late are left out. */
    fun places(now: Long): Map<String, Double> {
        models.values.removeIf { it.arrivals.value(now) < FORGOTTEN }
        return models.filterValues { it.ends.value(now) >= FORGOTTEN }.mapValues { (_, model) ->
            val perMillisecond = model.arrivals.value(now) / ARRIVAL_MEMORY_MILLISECONDS
            perMillisecond * model.work.value(now) / model.ends.value(now)
        }
    }

    /** Callers may name any model, so no more than [MODELS_KEPT] are counted. */
    private fun of(model: String): Model? {
        if (model !in models && models.size >= MODELS_KEPT) return null
        return models.getOrPut(model) { Model() }
    }

    private companion object {
        /** A burst of a second moves the measure by a fifth, and a new level is seen after a few. */
        const val ARRIVAL_MEMORY_MILLISECONDS = 4_000.0

        /** Longer than a broken group's answers are missing. */
        const val WORK_MEMORY_MILLISECONDS = 10_000.0

        /** A single request of half a minute ago. */
        const val FORGOTTEN = 0.001

        /** Far more than one deployment serves. */
        const val MODELS_KEPT = 100
    }
}
