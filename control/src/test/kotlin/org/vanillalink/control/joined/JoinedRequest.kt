/*
 * A caller's request in a joined scenario and its final answer.
 */
package org.vanillalink.control.joined

import org.vanillalink.model.Refusal
import org.vanillalink.model.RefusalOutcome

internal sealed interface FinalAnswer {
    data object Whole : FinalAnswer

    data class Refused(
        val refusal: Refusal,
    ) : FinalAnswer {
        val mayHaveRun: Boolean get() = refusal.outcome == RefusalOutcome.UNKNOWN
    }

    /** The daemon's process ended; whether the request ran isn't known to the caller. */
    data object ConnectionLost : FinalAnswer
}

/** [work] names what is run, the same for all requests with one [key]. */
internal data class JoinedRequest(
    val work: String,
    val key: String?,
    val answered: (FinalAnswer) -> Unit,
)

/** What the scenario remembers of a caller's request. */
internal class SentRequest(
    val name: String,
    val work: String,
    val daemon: String,
) {
    val answers = mutableListOf<FinalAnswer>()
    val answer: FinalAnswer? get() = answers.firstOrNull()
}
