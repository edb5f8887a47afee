/*
 * A target that takes orders, loads for a while and reports.
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
    private var starts = 1
    private var sequence = 0L
    private var assignment: Assignment? = null
    var phase = TargetPhase.EMPTY
        private set
    private var highest = FencingNumber.NONE
    var tokensPerSecond = 0.0
    var dead = false
        private set

    fun kill() {
        dead = true
    }

    fun restart() {
        dead = false
        starts++
        sequence = 0
        assignment = null
        phase = TargetPhase.EMPTY
    }

    fun report(): TargetReport? {
        if (dead) return null
        val boot = BootId("${host.id}-$starts")
        return TargetReport(host.id, boot, ++sequence, phase, assignment, highest, tokensPerSecond = tokensPerSecond)
    }

    fun take(order: DomainDecision.SendOrder): Either<OrderFailure, Unit> {
        if (dead) return OrderFailure.Unreachable.left()
        if (host.checksFencing && order.fencingNumber < highest) return OrderFailure.Fenced(highest).left()
        highest = maxOf(highest, order.fencingNumber)
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
        val startsNow = starts
        scenario.after(loadTime) {
            if (starts == startsNow && assignment == next) phase = TargetPhase.READY
        }
    }
}
