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
internal enum class EngineAnswer { WHOLE, REFUSED, BROKEN }

internal class ColdEngine(
    val host: Host,
    private val scenario: Scenario,
) {
    private val running = LinkedHashMap<AttemptId, (EngineAnswer) -> Unit>()
    private var boots = 1
    private var sequence = 0L
    private var turnSequence = 0L
    private var completed = 0
    private var assignment: Assignment? = null
    private var highest = FencingNumber.NONE

    /** Requests that ended here. */
    var served = 0
        private set

    /** Requests beyond the bound while cold whose sender knew of the last turn, and those whose sender didn't. */
    var overloadsByAware = 0
        private set
    var overloadsByUnaware = 0
        private set
    val bound: Int get() = minOf(WARM_REQUESTS, COLD_REQUESTS + completed / ENDS_PER_GROWTH)
    val boot: BootId get() = BootId("${host.id}-$boots")
    val runningRequests: Int get() = running.size

    fun report() = TargetReport(
        host = host.id,
        boot = boot,
        sequence = ++sequence,
        phase = if (assignment == null) TargetPhase.EMPTY else TargetPhase.READY,
        assignment = assignment,
        highestFencingNumber = highest,
        cold = bound < WARM_REQUESTS,
        bearableRequests = bound,
        runningAttempts = running.keys.toSet(),
        tokensPerSecond = running.size.toDouble(),
    )

    fun fence(number: FencingNumber): Boolean {
        if (host.checksFencing && number < highest) return false
        highest = maxOf(highest, number)
        return true
    }

    fun load(next: Assignment?) {
        if (next == assignment) return
        assignment = next
        turnCold()
    }

    /** What was known before this is known no more. */
    fun turnCold() {
        completed = 0
        turnSequence = sequence + 1
    }

    fun restart() {
        boots++
        sequence = 0
        highest = FencingNumber.NONE
        assignment = null
        turnCold()
        val broken = running.values.toList()
        running.clear()
        broken.forEach { whenEnded -> scenario.after(BREAK_NOTICED) { whenEnded(EngineAnswer.BROKEN) } }
    }

    fun run(
        attempt: AttemptId,
        target: AttemptTarget,
        known: TargetReport?,
        whenEnded: (EngineAnswer) -> Unit,
    ) {
        val current = target.boot == boot && (target.fencingNumber ?: FencingNumber.NONE) >= highest
        val ready = assignment?.generation == target.generation && assignment != null
        if (!ready || (host.checksFencing && !current)) return whenEnded(EngineAnswer.REFUSED)
        running[attempt] = whenEnded
        if (bound < WARM_REQUESTS &&
            running.size > bound
        ) {
            countOverload(aware = known?.boot == boot && known.sequence >= turnSequence)
        }
        val time = Duration.ofMillis(scenario.random.nextLong(SHORTEST_MILLISECONDS, LONGEST_MILLISECONDS))
        scenario.after(time) { end(attempt) }
    }

    private fun end(attempt: AttemptId) {
        val whenEnded = running.remove(attempt) ?: return
        completed++
        served++
        whenEnded(EngineAnswer.WHOLE)
    }

    private fun countOverload(aware: Boolean) {
        scenario.note("${host.id} of bound $bound runs ${running.size}, sender aware: $aware")
        if (aware) overloadsByAware++ else overloadsByUnaware++
    }

    companion object {
        const val COLD_REQUESTS = 2
        const val WARM_REQUESTS = 8
        private const val ENDS_PER_GROWTH = 4
        private const val SHORTEST_MILLISECONDS = 200L
        private const val LONGEST_MILLISECONDS = 1_500L
        private val BREAK_NOTICED = Duration.ofMillis(2)
    }
}
