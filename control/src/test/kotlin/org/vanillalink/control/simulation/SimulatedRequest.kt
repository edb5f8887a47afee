/*
 * A caller's request in a simulated site and its final answer.
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

    /** The daemon's process ended; the caller does not know whether the request ran. */
    data object ConnectionLost : FinalResponse
}

/** [work] identifies the operation that runs; it is the same for all requests with one [key]. */
internal data class SimulatedRequest(
    val work: String,
    val key: String?,
    val answered: (FinalResponse) -> Unit,
)

/** A request that was sent, with the answers that its caller received. */
internal class SentRequest(
    val name: String,
    val work: String,
    val daemon: String,
) {
    val answers = mutableListOf<FinalResponse>()
    val answer: FinalResponse? get() = answers.firstOrNull()
}
