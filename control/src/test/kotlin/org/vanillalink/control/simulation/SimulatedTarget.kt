/*
 * A target of a joined scenario: takes orders, loads, runs attempts, reports. It is the authority on its own state.
 */
package org.vanillalink.control.simulation

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.vanillalink.groups.DomainDecision
import org.vanillalink.groups.OrderFailure
import org.vanillalink.groups.TargetOrder
import org.vanillalink.model.Assignment
import org.vanillalink.model.AttemptId
import org.vanillalink.model.BootId
import org.vanillalink.model.DaemonId
import org.vanillalink.model.FencingNumber
import org.vanillalink.model.GroupId
import org.vanillalink.model.Host
import org.vanillalink.model.HostRole
import org.vanillalink.model.TargetPhase
import org.vanillalink.model.TargetReport
import org.vanillalink.testing.Scenario
import java.time.Duration
import java.time.Instant

internal class SimulatedTarget(
    val host: Host,
    private val scenario: Scenario,
) {
    private var starts = 1
    private var sequence = 0L
    private var highestNumber = FencingNumber.NONE
    private val running = LinkedHashSet<AttemptId>()
    private val suspendedActions = mutableListOf<() -> Unit>()
    private val boot get() = BootId("${host.id}-$starts")
    var assignment: Assignment? = null
        private set
    var phase = TargetPhase.EMPTY
        private set
    val isLoading get() = phase == TargetPhase.LOADING && !isDead
    var loadTime: Duration = LOAD_TIME
    var isDead = false
        private set
    var isPaused = false
        private set

    /** How often each piece of work was run. */
    val runs = HashMap<String, Int>()

    /** When each attempt arrived here. */
    val attemptStarts = mutableListOf<AttemptStart>()

    init {
        if (host.role == HostRole.PLAIN_SERVICE) phase = TargetPhase.READY
    }

    fun kill() {
        isDead = true
        running.clear()
    }

    /** Another boot, without weights and place. */
    fun restart() {
        kill()
        isDead = false
        starts++
        sequence = 0
        assignment = null
        highestNumber = FencingNumber.NONE
        phase = if (host.role == HostRole.PLAIN_SERVICE) TargetPhase.READY else TargetPhase.EMPTY
    }

    /** Another boot with the place and weights of the one before: an order that came late put it back. */
    fun restartInPlace() {
        val previousAssignment = assignment
        restart()
        assignment = previousAssignment
        phase = TargetPhase.READY
    }

    fun pause() {
        isPaused = true
    }

    fun resume() {
        isPaused = false
        val waiting = suspendedActions.toList()
        suspendedActions.clear()
        waiting.forEach { it() }
    }

    /** Runs [action] now, after the pause, or never where this boot ends first. */
    fun whenAwake(action: () -> Unit) {
        val boot = starts
        val sameBoot = { if (!isDead && starts == boot) action() }
        if (isPaused) suspendedActions.add(sameBoot) else sameBoot()
    }

    fun report() = TargetReport(
        host.id,
        boot,
        ++sequence,
        phase,
        assignment,
        highestNumber,
        runningAttempts = running.toSet(),
    )

    fun take(order: DomainDecision.SendOrder): Either<OrderFailure, Unit> {
        if (host.checksFencing && order.fencingNumber < highestNumber) return OrderFailure.Fenced(highestNumber).left()
        highestNumber = maxOf(highestNumber, order.fencingNumber)
        when (val what = order.order) {
            is TargetOrder.Load -> load(what.assignment)
            is TargetOrder.Release -> release()
            is TargetOrder.Fence -> Unit
        }
        return Unit.right()
    }

    /** Works on [work] for a while, then calls [finished]. */
    fun run(
        start: AttemptStart,
        work: String,
        finished: () -> Unit,
    ) {
        attemptStarts.add(start)
        runs.merge(work, 1, Int::plus)
        running.add(start.attempt)
        val boot = starts
        scenario.after(SERVICE_TIME) {
            if (starts == boot && !isDead) {
                whenAwake {
                    running.remove(start.attempt)
                    finished()
                }
            }
        }
    }

    private fun release() {
        assignment = null
        phase = TargetPhase.EMPTY
    }

    private fun load(next: Assignment) {
        if (assignment == next) return
        val hasWeights = phase == TargetPhase.READY && assignment?.service == next.service
        assignment = next
        if (hasWeights) return
        phase = TargetPhase.LOADING
        val boot = starts
        scenario.after(loadTime) { if (starts == boot && assignment == next) phase = TargetPhase.READY }
    }

    companion object {
        val SERVICE_TIME: Duration = Duration.ofMillis(400)
        val LOAD_TIME: Duration = Duration.ofMillis(500)
    }
}

/** An attempt's arrival at a target. */
internal data class AttemptStart(
    val attempt: AttemptId,
    val at: Instant,
    val group: GroupId?,
    val by: DaemonId,
)
