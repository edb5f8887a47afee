/*
 * A simulated target that accepts orders, loads weights for a fixed time and reports its state.
 */
package org.vanillalink.groups

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.vanillalink.model.Assignment
import org.vanillalink.model.BootId
import org.vanillalink.model.FencingNumber
import org.vanillalink.model.Host
import org.vanillalink.model.TargetPhase
import org.vanillalink.model.TargetReport
import org.vanillalink.testing.Scenario
import java.time.Duration

internal class FakeTarget(
    val host: Host,
    private val scenario: Scenario,
    private val loadTime: Duration,
) {
    private var startCount = 1
    private var sequence = 0L
    private var assignment: Assignment? = null
    var phase = TargetPhase.EMPTY
        private set
    private var highestFence = FencingNumber.NONE
    var tokensPerSecond = 0.0
    var isDead = false
        private set

    fun kill() {
        isDead = true
    }

    fun restart() {
        isDead = false
        startCount++
        sequence = 0
        assignment = null
        phase = TargetPhase.EMPTY
    }

    fun report(): TargetReport? {
        if (isDead) return null
        val boot = BootId("${host.id}-$startCount")
        return TargetReport(
            host.id,
            boot,
            ++sequence,
            phase,
            assignment,
            highestFence,
            tokensPerSecond = tokensPerSecond,
        )
    }

    fun accept(order: DomainDecision.SendOrder): Either<OrderFailure, Unit> {
        if (isDead) return OrderFailure.Unreachable.left()
        if (host.checksFencing && order.fencingNumber < highestFence) return OrderFailure.Fenced(highestFence).left()
        highestFence = maxOf(highestFence, order.fencingNumber)
        when (val what = order.order) {
            is TargetOrder.Load -> load(what.assignment)
            is TargetOrder.Release -> release()
            is TargetOrder.Fence -> Unit
        }
        return Unit.right()
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
        val startCountAtLoad = startCount
        scenario.after(loadTime) {
            if (startCount == startCountAtLoad && assignment == next) phase = TargetPhase.READY
        }
    }
}
