/*
 * A small language for scripted scenarios on virtual time.
 *
 * A scenario is a queue of steps ordered by time; steps at the same time run in an order drawn from the seed, so that
 * each seed gives another interleaving and the same seed always gives the same one. Nothing here sleeps.
 */
package org.vanillalink.testing

import java.time.Duration
import java.time.Instant
import java.util.PriorityQueue
import kotlin.random.Random

/** A scripted run on virtual time, reproducible from [seed]. */
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

    /** The only source of randomness of the run. */
    val random: Random = Random(seed)

    /** The virtual time. */
    var now: Instant = Instant.EPOCH
        private set

    /** What [note] recorded, for the message of a failed check. */
    val trace: List<String> get() = lines

    /** Runs [action] once [delay] has passed. */
    fun after(
        delay: Duration,
        action: () -> Unit,
    ) {
        queue.add(Step(now.plus(delay), random.nextLong(), sequence++, action))
    }

    /** Runs [action] every [period] from now on. */
    fun every(
        period: Duration,
        action: () -> Unit,
    ) {
        after(period) {
            action()
            every(period, action)
        }
    }

    /** Records [line] with the virtual time. */
    fun note(line: String) {
        lines.add("+${Duration.between(Instant.EPOCH, now).toMillis()}ms $line")
    }

    /** Runs all steps that are due within the next [duration]. */
    fun run(duration: Duration) {
        val end = now.plus(duration)
        while (queue.isNotEmpty() && queue.peek().scheduledAt <= end) {
            val step = queue.poll()
            now = step.scheduledAt
            step.action()
        }
        now = end
    }

    /** Fails with the seed and the last notes unless [condition] holds. */
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
