/*
 * State of the model engine stand-in. A cold engine can handle few concurrent requests; each completed one raises its
 * capacity. An engine that gets more requests than its capacity crashes.
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
    private val crash: () -> Unit = { Runtime.getRuntime().halt(OVERLOAD_EXIT_CODE) },
) {
    private val boot = BootId(UUID.randomUUID().toString())
    private var sequence = 0L
    private var assignment: Assignment? = null
    private var highestFencingNumber = FencingNumber.NONE
    private var readyAtNanos = 0L
    private var completedAttempts = 0
    private val runningAttempts = LinkedHashSet<AttemptId>()

    @Synchronized
    fun applyOrder(order: OrderMessage): OrderResponse {
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
        cold = capacity() < settings.warmRequests,
        bearableRequests = capacity(),
        runningAttempts = runningAttempts.toSet(),
        queuedRequests = 0,
        freeCacheFraction = 1.0 - runningAttempts.size.toDouble() / settings.warmRequests,
        tokensPerSecond = if (runningAttempts.isEmpty()) 0.0 else MILLISECONDS_PER_SECOND / settings.tokenMilliseconds,
    )

    /**
     * Starts [attempt]. Returns false if the engine is not ready, if the attempt is addressed to another group,
     * generation or process instance, or if it has an outdated fencing number.
     */
    @Synchronized
    fun startAttempt(
        attempt: AttemptId,
        expected: ExpectedTarget,
    ): Boolean {
        if (phase() != TargetPhase.READY || !matches(expected)) return false
        runningAttempts.add(attempt)
        if (runningAttempts.size > capacity()) crash()
        return true
    }

    @Synchronized
    fun endAttempt(attempt: AttemptId) {
        if (runningAttempts.remove(attempt)) completedAttempts += 1
    }

    @Synchronized
    fun isRunning(attempt: AttemptId): Boolean = attempt in runningAttempts

    private fun load(newAssignment: Assignment?) {
        if (newAssignment == assignment) return
        assignment = newAssignment
        readyAtNanos = nanoTime() + settings.loadMilliseconds * NANOSECONDS_PER_MILLISECOND
        completedAttempts = 0
    }

    private fun phase(): TargetPhase = when {
        assignment == null -> TargetPhase.EMPTY
        nanoTime() < readyAtNanos -> TargetPhase.LOADING
        else -> TargetPhase.READY
    }

    private fun capacity(): Int = minOf(settings.warmRequests, settings.coldRequests + completedAttempts)

    private fun matches(expected: ExpectedTarget): Boolean {
        if (expected.group != null && expected.group != assignment?.group?.value) return false
        if (expected.generation != null && expected.generation != assignment?.generation?.toString()) return false
        if (expected.boot != null && expected.boot != boot.value) return false
        val fencingNumber = expected.fencingNumber ?: return true
        return !settings.checksFencing || fencingNumber >= highestFencingNumber.value
    }

    private companion object {
        const val NANOSECONDS_PER_MILLISECOND = 1_000_000L
        const val MILLISECONDS_PER_SECOND = 1_000.0
        const val OVERLOAD_EXIT_CODE = 3
    }
}

/** The target that a request's header fields are addressed to; null for fields that are absent. */
internal data class ExpectedTarget(
    val group: String?,
    val generation: String?,
    val boot: String?,
    val fencingNumber: Long?,
)
