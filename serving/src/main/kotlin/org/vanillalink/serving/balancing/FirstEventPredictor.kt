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
    private class Delay(
        var milliseconds: Double = 0.0,
        var samples: Int = 0,
    )

    private val delays = HashMap<String, Delay>()

    /** Predicts the first event of one more request of [model] with [promptTokens] at a group with [requests]. */
    fun predict(
        model: String,
        times: EngineTimes,
        requests: Int,
        promptTokens: Int,
    ): FirstEventPrediction {
        val byEngine = maxOf(1.0, times.firstEvent(requests, promptTokens))
        return FirstEventPrediction(byEngine.toLong(), (byEngine + usualDelay(model)).toLong())
    }

    /**
     * How many requests a group of [model] with [slots] may have, so that the first event of each still comes within
     * [milliseconds] in nine of ten cases. Most slots are used however late first events are: in a burst, they come
     * later than the known requests explain.
     */
    fun maxRequests(
        model: String,
        times: EngineTimes,
        slots: Int,
        milliseconds: Long,
    ): Int {
        val fewest = (slots * LEAST_SLOT_SHARE).toInt()
        val requests =
            (slots downTo fewest).firstOrNull {
                predict(model, times, it, times.usualPromptTokens).usual * NINE_IN_TEN_FACTOR <= milliseconds
            }
        return (requests ?: fewest) + 1
    }

    /** Records that the first event that [prediction] was made for took [milliseconds]. */
    fun record(
        model: String,
        prediction: FirstEventPrediction,
        milliseconds: Long,
    ) {
        val observed = (milliseconds - prediction.byEngine).coerceIn(0, MAX_DELAY_MILLISECONDS).toDouble()
        val delay = delays.getOrPut(model) { Delay() }
        delay.samples += 1
        val step = maxOf(MIN_STEP_MILLISECONDS, FIRST_STEP_MILLISECONDS / delay.samples)
        delay.milliseconds += (observed - delay.milliseconds).coerceIn(-step, step)
    }

    private fun usualDelay(model: String): Double = delays[model]?.milliseconds ?: 0.0

    private companion object {
        const val FIRST_STEP_MILLISECONDS = 50.0

        /** Limited, so that the few requests at groups that stand still don't count for more than others. */
        const val MIN_STEP_MILLISECONDS = 5.0

        /** A single first event that is later than this says no more about the others. */
        const val MAX_DELAY_MILLISECONDS = 1_000L

        const val LEAST_SLOT_SHARE = 0.75

        /** First events of equally loaded groups differ by where in a pass requests arrive. */
        const val NINE_IN_TEN_FACTOR = 1.2
    }
}
