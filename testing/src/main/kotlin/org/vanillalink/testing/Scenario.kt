/*
 * A DSL for scripted tests in virtual time (discrete event simulation).
 *
 * A scenario is a queue of steps ordered by time. Steps due at the same time run in an order drawn from the seed, so
 * that different seeds exercise different interleavings and each seed is reproducible. Nothing here sleeps.
 */
package org.vanillalink.testing

import java.time.Duration
import java.time.Instant
import java.util.PriorityQueue
import kotlin.random.Random

/** One simulation in virtual time, reproducible from [seed]. */
class Scenario(
    val seed: Long,
) {
    private data class Step(
        val scheduledAt: Instant,
        val tieBreak: Long,
        val sequence: Long,
        val action: () -> Unit,
    )

    private val queue = PriorityQueue(compareBy<Step>({ it.scheduledAt }, { it.tieBreak }, { it.sequence }))
    private val lines = mutableListOf<String>()
    private var sequence = 0L

    /** The only source of randomness in the simulation. */
    val random: Random = Random(seed)

    /** The current virtual time. */
    var now: Instant = Instant.EPOCH
        private set

    /** The lines recorded by [note]. */
    val trace: List<String> get() = lines

    /** Schedules [action] once, after [delay]. */
    fun after(
        delay: Duration,
        action: () -> Unit,
    ) {
        queue.add(Step(now.plus(delay), random.nextLong(), sequence++, action))
    }

    /** Schedules [action] every [period], the first time after one period. */
    fun every(
        period: Duration,
        action: () -> Unit,
    ) {
        after(period) {
            action()
            every(period, action)
        }
    }

    /** Adds [line] with the virtual time to the trace. */
    fun note(line: String) {
        lines.add("+${Duration.between(Instant.EPOCH, now).toMillis()}ms $line")
    }

    /** Advances the virtual time by [duration] and runs all steps that become due. */
    fun run(duration: Duration) {
        val end = now.plus(duration)
        while (queue.isNotEmpty() && queue.peek().scheduledAt <= end) {
            val step = queue.poll()
            now = step.scheduledAt
            step.action()
        }
        now = end
    }

    /** Fails with the seed and the last lines of the trace unless [condition] holds. */
    fun check(
        condition: Boolean,
        message: () -> String,
    ) {
        if (condition) return
        throw AssertionError("${message()} [seed=$seed]\n" + lines.takeLast(TRACE_LINES_SHOWN).joinToString("\n"))
    }

    private companion object {
        const val TRACE_LINES_SHOWN = 40
    }
}

/** Runs [script] once for each of [seeds]. */
fun forEachSeed(
    seeds: Iterable<Long>,
    script: Scenario.() -> Unit,
) {
    seeds.forEach { seed -> Scenario(seed).script() }
}
