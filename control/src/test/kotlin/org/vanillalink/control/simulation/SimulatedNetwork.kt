/*
 * The links of a joined scenario: one way each, between any two parties, named by daemon, host or [PLATFORM].
 */
package org.vanillalink.control.simulation

import org.vanillalink.testing.LinkBehaviour
import org.vanillalink.testing.Scenario
import org.vanillalink.testing.UnreliableLink
import java.time.Duration

/** Delivers between parties; [behaviour] holds for all links that aren't cut. */
internal class SimulatedNetwork(
    private val scenario: Scenario,
) {
    private val links = HashMap<Pair<String, String>, UnreliableLink<() -> Unit>>()
    private val partitions = mutableListOf<(String, String) -> Boolean>()

    var behaviour =
        LinkBehaviour(
            minDelay = Duration.ofMillis(1),
            maxDelay = Duration.ofMillis(MAX_DELAY_MILLISECONDS),
        )

    /** Cuts all links between parties for which [between] holds in one of the two directions. */
    fun partition(between: (String, String) -> Boolean) {
        partitions.add { from, to -> between(from, to) || between(to, from) }
    }

    fun restoreAllLinks() = partitions.clear()

    fun send(
        from: String,
        to: String,
        deliver: () -> Unit,
    ) {
        val link = links.getOrPut(from to to) { UnreliableLink(scenario) { it() } }
        link.behaviour = behaviour.copy(isPartitioned = partitions.any { it(from, to) })
        link.send(deliver)
    }

    /**
     * Sends a question and hands its answer, or null after [timeout], to [answered] once. [handle] gets a function that
     * sends the answer back.
     */
    fun <T : Any> ask(
        from: String,
        to: String,
        handle: ((T) -> Unit) -> Unit,
        timeout: Duration = TIMEOUT,
        answered: (T?) -> Unit,
    ) {
        var done = false
        val once = { answer: T? ->
            if (!done) {
                done = true
                answered(answer)
            }
        }
        send(from, to) { handle { answer -> send(to, from) { once(answer) } } }
        scenario.after(timeout) { once(null) }
    }

    companion object {
        const val PLATFORM = "platform"
        val TIMEOUT: Duration = Duration.ofSeconds(1)
        private const val MAX_DELAY_MILLISECONDS = 5L
    }
}
