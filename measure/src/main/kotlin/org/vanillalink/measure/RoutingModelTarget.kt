/*
 * The targets of the small model that the measurements of routing run on; what it assumes is told in RoutingModel.kt.
 */
package org.vanillalink.measure

import org.vanillalink.model.HostId
import org.vanillalink.testing.Scenario
import java.time.Duration

/** One request at a target. */
internal class RoutingModelWork(
    val id: String,
    val tokens: Int,
    val onFirstToken: () -> Unit,
    val onEnd: (succeeded: Boolean, serviceTime: Duration) -> Unit,
)

/** A target that runs [slots] requests at once and keeps others waiting. */
internal class RoutingModelTarget(
    private val scenario: Scenario,
    val host: HostId,
    val slots: Int,
) {
    var boot = 1
        private set
    var serves = true
        private set
    private var cold = false
    private var finishedCold = 0
    private val running = HashMap<String, RoutingModelWork>()
    private val waiting = ArrayDeque<RoutingModelWork>()

    /** Times that it fell over, cold, under more than it bore. */
    var falls = 0
        private set

    val load: Int get() = running.size + waiting.size

    /** Requests that it bears at once now. */
    val bears: Int get() = if (cold) minOf(slots, 1 + finishedCold / FINISHED_FOR_ONE_MORE) else slots

    fun submit(work: RoutingModelWork) {
        if (!serves) return work.onEnd(false, Duration.ZERO)
        if (running.size >= slots) waiting.addLast(work) else begin(work)
        if (load > bears && cold) fallOver()
    }

    private fun begin(work: RoutingModelWork) {
        running[work.id] = work
        val concurrency = running.size
        val first = Duration.ofMillis(PREFILL_MILLISECONDS + PREFILL_GROWTH_MILLISECONDS * concurrency)
        val micros = work.tokens * (TOKEN_MICROSECONDS + TOKEN_GROWTH_MICROSECONDS * concurrency)
        val whole = first.plusNanos(micros * NANOSECONDS_PER_MICROSECOND)
        scenario.after(first) { if (running[work.id] === work) work.onFirstToken() }
        scenario.after(whole) { finish(work, whole) }
    }

    private fun finish(
        work: RoutingModelWork,
        time: Duration,
    ) {
        if (running[work.id] !== work) return
        running.remove(work.id)
        finishedCold += 1
        waiting.removeFirstOrNull()?.let { begin(it) }
        work.onEnd(true, time)
    }

    fun cancel(id: String) {
        if (running.remove(id) != null) waiting.removeFirstOrNull()?.let { begin(it) }
    }

    private fun fallOver() {
        falls += 1
        stop()
        scenario.after(RESTART) { startCold() }
    }

    /** Everything on it is lost. */
    fun stop() {
        serves = false
        val lost = running.values + waiting
        running.clear()
        waiting.clear()
        lost.forEach { it.onEnd(false, Duration.ZERO) }
    }

    fun startCold() {
        serves = true
        cold = true
        finishedCold = 0
        boot += 1
    }

    private companion object {
        const val FINISHED_FOR_ONE_MORE = 4
        const val PREFILL_MILLISECONDS = 60L
        const val PREFILL_GROWTH_MILLISECONDS = 10L
        const val TOKEN_MICROSECONDS = 4_000L
        const val TOKEN_GROWTH_MICROSECONDS = 400L
        const val NANOSECONDS_PER_MICROSECOND = 1_000L
        val RESTART: Duration = Duration.ofSeconds(10)
    }
}
