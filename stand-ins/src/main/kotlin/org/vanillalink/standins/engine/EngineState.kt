/*
 * What an engine's stand-in knows of itself. A cold engine bears few requests; each completed one warms it. One that
 * gets more than it bears falls over.
 */
package org.vanillalink.standins.engine

import org.vanillalink.model.Assignment
import org.vanillalink.model.AttemptId
import org.vanillalink.model.BootId
import org.vanillalink.model.FencingNumber
import org.vanillalink.model.TargetPhase
import org.vanillalink.model.TargetReport
import org.vanillalink.targets.OrderKind
import org.vanillalink.targets.OrderMessage
import org.vanillalink.targets.OrderResponse
import java.util.UUID

internal class EngineState(
    val settings: EngineSettings,
    private val nanoTime: () -> Long = System::nanoTime,
    private val fallOver: () -> Unit = { Runtime.getRuntime().halt(FELL_OVER) },
) {
    private val boot = BootId(UUID.randomUUID().toString())
    private var sequence = 0L
    private var assignment: Assignment? = null
    private var highestFencingNumber = FencingNumber.NONE
    private var readyAt = 0L
    private var completed = 0
    private val running = LinkedHashSet<AttemptId>()

    @Synchronized
    fun take(order: OrderMessage): OrderResponse {
        if (settings.checksFencing && order.fencingNumber < highestFencingNumber) {
            return OrderResponse(taken = false, highestFencingNumber)
        }
        highestFencingNumber = maxOf(highestFencingNumber, order.fencingNumber)
        when (order.kind) {
            OrderKind.LOAD -> load(order.assignment)
            OrderKind.RELEASE -> assignment = null
            OrderKind.FENCE -> Unit
        }
        return OrderResponse(taken = true, highestFencingNumber)
    }

    @Synchronized
    fun report(): TargetReport = TargetReport(
        host = settings.host,
        boot = boot,
        sequence = ++sequence,
        phase = phase(),
        assignment = assignment,
        highestFencingNumber = highestFencingNumber,
        cold = bearable() < settings.warmRequests,
        bearableRequests = bearable(),
        runningAttempts = running.toSet(),
        queuedRequests = 0,
        freeCacheFraction = 1.0 - running.size.toDouble() / settings.warmRequests,
        tokensPerSecond = if (running.isEmpty()) 0.0 else MILLISECONDS / settings.tokenMilliseconds,
    )

    /** Begins an attempt, unless it is meant for another group, generation, boot or an older fencing number. */
    @Synchronized
    fun begin(
        attempt: AttemptId,
        expected: ExpectedTarget,
    ): Boolean {
        if (phase() != TargetPhase.READY || !matches(expected)) return false
        running.add(attempt)
        if (running.size > bearable()) fallOver()
        return true
    }

    @Synchronized
    fun end(attempt: AttemptId) {
        if (running.remove(attempt)) completed += 1
    }

    @Synchronized
    fun isRunning(attempt: AttemptId): Boolean = attempt in running

    private fun load(next: Assignment?) {
        if (next == assignment) return
        assignment = next
        readyAt = nanoTime() + settings.loadMilliseconds * NANOSECONDS_PER_MILLISECOND
        completed = 0
    }

    private fun phase(): TargetPhase = when {
        assignment == null -> TargetPhase.EMPTY
        nanoTime() < readyAt -> TargetPhase.LOADING
        else -> TargetPhase.READY
    }

    private fun bearable(): Int = minOf(settings.warmRequests, settings.coldRequests + completed)

    private fun matches(expected: ExpectedTarget): Boolean {
        if (expected.group != null && expected.group != assignment?.group?.value) return false
        if (expected.generation != null && expected.generation != assignment?.generation?.toString()) return false
        if (expected.boot != null && expected.boot != boot.value) return false
        val number = expected.fencingNumber ?: return true
        return !settings.checksFencing || number >= highestFencingNumber.value
    }

    private companion object {
        const val NANOSECONDS_PER_MILLISECOND = 1_000_000L
        const val MILLISECONDS = 1_000.0
        const val FELL_OVER = 3
    }
}

/** What a request's header fields say of the target that it is meant for; null where they say nothing. */
internal data class ExpectedTarget(
    val group: String?,
    val generation: String?,
    val boot: String?,
    val fencingNumber: Long?,
)
