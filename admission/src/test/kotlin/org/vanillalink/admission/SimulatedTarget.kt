/*
 * A target that reports how many requests it bears, warms up as attempts end, and can become cold again.
 *
 * A request that is refused because of its boot or fencing number, or that arrives on a closed connection, never runs.
 */
package org.vanillalink.admission

import org.vanillalink.model.AttemptId
import org.vanillalink.model.BootId
import org.vanillalink.model.FencingNumber
import org.vanillalink.model.HostId
import org.vanillalink.model.TargetPhase
import org.vanillalink.model.TargetReport

internal class SimulatedTarget(
    val host: HostId,
    val checksFencing: Boolean,
) {
    var boots = 1
    var turns = 1
    var bound = COLD
    val running = mutableSetOf<AttemptId>()
    var highestFencingNumber = FencingNumber.NONE
    private var sequence = 0L
    private var endedSinceGrowth = 0

    val boot get() = BootId("$host-$boots")
    val cold get() = bound < WARM

    fun report() = TargetReport(
        host = host,
        boot = boot,
        sequence = sequence++,
        phase = TargetPhase.READY,
        highestFencingNumber = highestFencingNumber,
        cold = cold,
        bearableRequests = bound,
        runningAttempts = running.toSet(),
        tokensPerSecond = running.size.toDouble(),
    )

    fun refuses(admitted: HolderDecision.Admit): Boolean =
        checksFencing && (admitted.boot != boot || admitted.fencingNumber < highestFencingNumber)

    fun fence(number: FencingNumber) {
        if (checksFencing) highestFencingNumber = maxOf(highestFencingNumber, number)
    }

    fun end(attempt: AttemptId): Boolean {
        if (!running.remove(attempt)) return false
        endedSinceGrowth++
        if (cold && endedSinceGrowth >= ENDS_PER_GROWTH) grow()
        return true
    }

    fun turnCold() {
        bound = COLD
        turns++
        endedSinceGrowth = 0
    }

    fun restart() {
        boots++
        sequence = 0
        running.clear()
        highestFencingNumber = FencingNumber.NONE
        turnCold()
    }

    private fun grow() {
        bound++
        endedSinceGrowth = 0
    }

    companion object {
        const val COLD = 2
        const val WARM = 6
        private const val ENDS_PER_GROWTH = 4
    }
}
