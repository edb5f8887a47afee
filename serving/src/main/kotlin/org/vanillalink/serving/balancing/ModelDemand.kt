/*
 * Estimates how many slots the callers of each model, or of each plain service, need at once: arrival rate times slot
 * occupancy (Little's law).
 *
 * Refused requests count as arrivals, since otherwise an overloaded model would appear to have enough slots. Occupancy
 * is taken from complete answers, so it follows the engine's batch sizes and the lengths of the prompts.
 */
package org.vanillalink.serving.balancing

/** Exponentially decaying estimates per model or plain service; times are in milliseconds. Not thread safe. */
class ModelDemand {
    private class ModelStatistics {
        val arrivals = DecayingSum(ARRIVAL_TIME_CONSTANT_MILLISECONDS)
        val completions = DecayingSum(COMPLETION_TIME_CONSTANT_MILLISECONDS)
        val occupiedMilliseconds = DecayingSum(COMPLETION_TIME_CONSTANT_MILLISECONDS)
    }

    private val models = HashMap<String, ModelStatistics>()

    fun recordRequest(
        model: String,
        now: Long,
    ) {
        findOrCreate(model)?.arrivals?.add(1.0, now)
    }

    /** Records a complete answer of [model] that occupied a slot for [milliseconds]. */
    fun recordCompletion(
        model: String,
        milliseconds: Long,
        now: Long,
    ) {
        val statistics = findOrCreate(model) ?: return
        statistics.completions.add(1.0, now)
        statistics.occupiedMilliseconds.add(milliseconds.toDouble(), now)
    }

    /** How long a request of [model] has a slot on average, in milliseconds. */
    fun occupancyMilliseconds(
        model: String?,
        now: Long,
    ): Double {
        val statistics = models[model]?.takeIf { it.completions.value(now) >= NEGLIGIBLE_COUNT }
        if (statistics == null) return DEFAULT_OCCUPANCY_MILLISECONDS
        return statistics.occupiedMilliseconds.value(now) / statistics.completions.value(now)
    }

    /** Estimated slots in demand by model; models without a recent complete answer are left out. */
    fun slotDemand(now: Long): Map<String, Double> {
        models.values.removeIf { it.arrivals.value(now) < NEGLIGIBLE_COUNT }
        return models.filterValues { it.completions.value(now) >= NEGLIGIBLE_COUNT }.mapValues { (_, statistics) ->
            val arrivalsPerMillisecond = statistics.arrivals.value(now) / ARRIVAL_TIME_CONSTANT_MILLISECONDS
            arrivalsPerMillisecond * statistics.occupiedMilliseconds.value(now) / statistics.completions.value(now)
        }
    }

    /** Callers may name any model, so at most [MAX_MODELS] are tracked; returns null for further ones. */
    private fun findOrCreate(model: String): ModelStatistics? {
        if (model !in models && models.size >= MAX_MODELS) return null
        return models.getOrPut(model) { ModelStatistics() }
    }

    private companion object {
        /** Until complete answers show how long requests take. */
        const val DEFAULT_OCCUPANCY_MILLISECONDS = 1_000.0

        /** A one-second burst changes the estimate by about a fifth; a lasting change shows after a few seconds. */
        const val ARRIVAL_TIME_CONSTANT_MILLISECONDS = 4_000.0

        /** Longer than the time without answers while a broken group is replaced. */
        const val COMPLETION_TIME_CONSTANT_MILLISECONDS = 10_000.0

        /** What remains of a single request after about half a minute. */
        const val NEGLIGIBLE_COUNT = 0.001

        /** Far more models than one deployment serves. */
        const val MAX_MODELS = 100
    }
}
