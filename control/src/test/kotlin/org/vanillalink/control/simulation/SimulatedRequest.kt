/*
 * A caller's request in a joined scenario and its final answer.
 */
package org.vanillalink.control.simulation

import org.vanillalink.model.Refusal
import org.vanillalink.model.RefusalOutcome

internal sealed interface FinalResponse {
    data object Completed : FinalResponse

    data class Refused(
        val refusal: Refusal,
    ) : FinalResponse {
        val mayHaveRun: Boolean get() = refusal.outcome == RefusalOutcome.UNKNOWN
    }

    /** The daemon's process ended; whether the request ran isn't known to the caller. */
    data object ConnectionLost : FinalResponse
}

/** [work] names what is run, the same for all requests with one [key]. */
internal data class SimulatedRequest(
    val work: String,
    val key: String?,
    val answered: (FinalResponse) -> Unit,
)

/** What the scenario remembers of a caller's request. */
internal class SentRequest(
    val name: String,
    val work: String,
    val daemon: String,
) {
    val answers = mutableListOf<FinalResponse>()
    val answer: FinalResponse? get() = answers.firstOrNull()
}
