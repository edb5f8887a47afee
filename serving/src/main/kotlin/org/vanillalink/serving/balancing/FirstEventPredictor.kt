/*
 * Predicts when the first event of an answer is due: the engine's own times, corrected by how much later first events
 * of the same model have lately been. If all of them are late, the groups are loaded, and being late is no sign that a
 * group stands still.
 */
package org.vanillalink.serving.balancing

/** Milliseconds from sending a request to its first event. */
data class FirstEventPrediction(
    /** By the engine's times alone: about the earliest time. */
    val byEngine: Long,
    /** As first events of the model lately were. */
    val usual: Long,
)

/** Not thread safe. */
class FirstEventPredictor {
    private val delayFactors = HashMap<String, Double>()

    /** Predicts the first event of one more request of [model] with [promptTokens] at a group with [requests]. */
    fun predict(
        model: String,
        times: EngineTimes,
        requests: Int,
        promptTokens: Int,
    ): FirstEventPrediction {
        val byEngine = maxOf(1.0, times.firstEvent(requests, promptTokens))
        return FirstEventPrediction(byEngine.toLong(), (byEngine * delayFactor(model)).toLong())
    }

    /** Records that the first event that [prediction] was made for took [milliseconds]. */
    fun record(
        model: String,
        prediction: FirstEventPrediction,
        milliseconds: Long,
    ) {
        val observed = (milliseconds.toDouble() / maxOf(1, prediction.byEngine)).coerceIn(1.0, MAX_FACTOR)
        delayFactors[model] = delayFactor(model) + (observed - delayFactor(model)) * WEIGHT
    }

    private fun delayFactor(model: String): Double = delayFactors[model] ?: 1.0

    private companion object {
        /** Some tens of first events: less than a second of a busy daemon. */
        const val WEIGHT = 0.05

        /** A single first event that is later than this says no more about the others. */
        const val MAX_FACTOR = 10.0
    }
}
