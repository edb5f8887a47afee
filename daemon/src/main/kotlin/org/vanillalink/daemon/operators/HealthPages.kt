/*
 * Whether a daemon lives and whether callers may be sent to it.
 */
package org.vanillalink.daemon.operators

import org.vanillalink.daemon.control.ControlLoop

/** Why a daemon isn't ready; null while it is. */
data class Readiness(
    val ready: Boolean,
    val reason: String?,
)

/** Health pages; [isDraining] tells whether the daemon is about to end. */
class HealthPages(
    private val loop: ControlLoop,
    private val isDraining: () -> Boolean,
) {
    /** Whether the daemon is about to end. */
    val draining: Boolean get() = isDraining()

    /** Answers as soon as the process handles requests. */
    val health = OperatorsPage { _, answer -> answer.answerJson(mapOf("alive" to true)) }

    /** Answers 503 while callers shouldn't be sent here. */
    val readiness =
        OperatorsPage { _, answer ->
            loop.ask { it.isReady }.thenAccept { configured ->
                val readiness = readiness(configured)
                answer.answerJson(readiness, if (readiness.ready) HttpStatus.OK else HttpStatus.UNAVAILABLE)
            }
        }

    /** Whether callers should be sent here, with [configured] telling whether a configuration is in force. */
    fun readiness(configured: Boolean): Readiness = when {
        isDraining() -> Readiness(false, "shutting down")
        !configured -> Readiness(false, "no configuration from the platform or a peer yet")
        else -> Readiness(true, null)
    }
}
