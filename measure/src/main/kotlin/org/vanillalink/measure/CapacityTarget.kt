/*
 * A model engine of the capacity model. Its weights are there at once, so that groups form within seconds.
 */
package org.vanillalink.measure

import org.vanillalink.groups.DomainDecision
import org.vanillalink.groups.TargetOrder
import org.vanillalink.model.Assignment
import org.vanillalink.model.AttemptId
import org.vanillalink.model.BootId
import org.vanillalink.model.FencingNumber
import org.vanillalink.model.Host
import org.vanillalink.model.TargetPhase
import org.vanillalink.model.TargetReport

internal class CapacityTarget(
    val host: Host,
    private val runningAttempts: Int,
) {
    private var sequence = 0L
    private var assignment: Assignment? = null
    private var highest = FencingNumber.NONE

    fun take(order: DomainDecision.SendOrder) {
        highest = maxOf(highest, order.fencingNumber)
        when (val what = order.order) {
            is TargetOrder.Load -> assignment = what.assignment
            is TargetOrder.Release -> assignment = null
            is TargetOrder.Fence -> Unit
        }
    }

    /** The report; while the target is the first of its group, one attempt has ended and one begun since the last. */
    fun report(): TargetReport {
        sequence++
        val loaded = assignment?.rank == 0
        val running = if (loaded) List(runningAttempts) { attempt(sequence + it) }.toSet() else emptySet()
        return TargetReport(
            host = host.id,
            boot = BootId("boot-${host.id}"),
            sequence = sequence,
            phase = if (assignment == null) TargetPhase.EMPTY else TargetPhase.READY,
            assignment = assignment,
            highestFencingNumber = highest,
            runningAttempts = running,
            tokensPerSecond = TOKENS_PER_SECOND,
        )
    }

    /** As long as the daemon's own: a UUID and the attempt's number. */
    private fun attempt(index: Long) = AttemptId(index.toString().padStart(UUID_CHARACTERS, '0') + ".1")

    private companion object {
        const val UUID_CHARACTERS = 36
        const val TOKENS_PER_SECOND = 900.0
    }
}
