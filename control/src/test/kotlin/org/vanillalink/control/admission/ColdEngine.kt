/*
 * A model engine that bears little while cold and more with each request that it ends, and counts what comes beyond.
 */
package org.vanillalink.control.admission

import org.vanillalink.control.AttemptTarget
import org.vanillalink.model.Assignment
import org.vanillalink.model.AttemptId
import org.vanillalink.model.BootId
import org.vanillalink.model.FencingNumber
import org.vanillalink.model.Host
import org.vanillalink.model.TargetPhase
import org.vanillalink.model.TargetReport
import org.vanillalink.testing.Scenario
import java.time.Duration

/** How an attempt ended, as its sender sees it. */
internal enum class EngineResult { COMPLETED, REFUSED, FAILED }

internal class ColdEngine(
    val host: Host,
    private val scenario: Scenario,
) {
    private val running = LinkedHashMap<AttemptId, (EngineResult) -> Unit>()
    private var boots = 1
    private var sequence = 0L
    private var resetSequence = 0L
    private var completed = 0
    private var assignment: Assignment? = null
    private var highestFencingNumber = FencingNumber.NONE

    /** Requests that ended here. */
    var served = 0
        private set

    /** Requests beyond the bound while cold whose sender knew of the last turn, and those whose sender didn't. */
    var overloadsByInformed = 0
        private set
    var overloadsByUninformed = 0
        private set
    val bound: Int get() = minOf(WARM_REQUESTS, COLD_REQUESTS + completed / COMPLETIONS_PER_BOUND_STEP)
    val boot: BootId get() = BootId("${host.id}-$boots")
    val runningRequests: Int get() = running.size

    fun report() = TargetReport(
        host = host.id,
        boot = boot,
        sequence = ++sequence,
        phase = if (assignment == null) TargetPhase.EMPTY else TargetPhase.READY,
        assignment = assignment,
        highestFencingNumber = highestFencingNumber,
        cold = bound < WARM_REQUESTS,
        bearableRequests = bound,
        runningAttempts = running.keys.toSet(),
        tokensPerSecond = running.size.toDouble(),
    )

    fun fence(number: FencingNumber): Boolean {
        if (host.checksFencing && number < highestFencingNumber) return false
        highestFencingNumber = maxOf(highestFencingNumber, number)
        return true
    }

    fun load(next: Assignment?) {
        if (next == assignment) return
        assignment = next
        resetToCold()
    }

    /** What was known before this is known no more. */
    fun resetToCold() {
        completed = 0
        resetSequence = sequence + 1
    }

    fun restart() {
        boots++
        sequence = 0
        highestFencingNumber = FencingNumber.NONE
        assignment = null
        resetToCold()
        val broken = running.values.toList()
        running.clear()
        broken.forEach { onEnd -> scenario.after(FAILURE_NOTICE_DELAY) { onEnd(EngineResult.FAILED) } }
    }

    fun run(
        attempt: AttemptId,
        target: AttemptTarget,
        known: TargetReport?,
        onEnd: (EngineResult) -> Unit,
    ) {
        val current = target.boot == boot && (target.fencingNumber ?: FencingNumber.NONE) >= highestFencingNumber
        val ready = assignment?.generation == target.generation && assignment != null
        if (!ready || (host.checksFencing && !current)) return onEnd(EngineResult.REFUSED)
        running[attempt] = onEnd
        if (bound < WARM_REQUESTS &&
            running.size > bound
        ) {
            countOverload(isInformed = known?.boot == boot && known.sequence >= resetSequence)
        }
        val time =
            Duration.ofMillis(
                scenario.random.nextLong(MIN_SERVICE_TIME_MILLISECONDS, MAX_SERVICE_TIME_MILLISECONDS),
            )
        scenario.after(time) { end(attempt) }
    }

    private fun end(attempt: AttemptId) {
        val onEnd = running.remove(attempt) ?: return
        completed++
        served++
        onEnd(EngineResult.COMPLETED)
    }

    private fun countOverload(isInformed: Boolean) {
        scenario.note("${host.id} of bound $bound runs ${running.size}, sender aware: $isInformed")
        if (isInformed) overloadsByInformed++ else overloadsByUninformed++
    }

    companion object {
        const val COLD_REQUESTS = 2
        const val WARM_REQUESTS = 8
        private const val COMPLETIONS_PER_BOUND_STEP = 4
        private const val MIN_SERVICE_TIME_MILLISECONDS = 200L
        private const val MAX_SERVICE_TIME_MILLISECONDS = 1_500L
        private val FAILURE_NOTICE_DELAY = Duration.ofMillis(2)
    }
}
