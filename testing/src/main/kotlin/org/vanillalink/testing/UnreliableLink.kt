/*
 * A simulated one-way network link that delays, loses, duplicates and reorders messages.
 */
package org.vanillalink.testing

import java.time.Duration

/** Faults of a link. Delays are drawn uniformly between the limits; probabilities are 0.0 to 1.0. */
data class LinkBehaviour(
    val minDelay: Duration = Duration.ofMillis(1),
    val maxDelay: Duration = Duration.ofMillis(1),
    val lossProbability: Double = 0.0,
    val duplicateProbability: Double = 0.0,
    val isPartitioned: Boolean = false,
)

/** Delivers messages of type [Message] to [receive] within [scenario]. */
class UnreliableLink<Message>(
    private val scenario: Scenario,
    private val receive: (Message) -> Unit,
) {
    /** Applies to messages sent from now on. */
    var behaviour: LinkBehaviour = LinkBehaviour()

    /** Sends [message], which can arrive late, twice or not at all. */
    fun send(message: Message) {
        val copies = if (scenario.random.nextDouble() < behaviour.duplicateProbability) 2 else 1
        repeat(copies) { sendOnce(message) }
    }

    private fun sendOnce(message: Message) {
        if (behaviour.isPartitioned || scenario.random.nextDouble() < behaviour.lossProbability) return
        scenario.after(randomDelay()) { receive(message) }
    }

    private fun randomDelay(): Duration {
        val minMilliseconds = behaviour.minDelay.toMillis()
        val maxMilliseconds = behaviour.maxDelay.toMillis()
        return Duration.ofMillis(scenario.random.nextLong(minMilliseconds, maxMilliseconds + 1))
    }
}
