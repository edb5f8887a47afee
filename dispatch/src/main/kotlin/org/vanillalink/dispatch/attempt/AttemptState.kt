/*
 * How far the answer to one request is.
 */
package org.vanillalink.dispatch.attempt

import org.vanillalink.model.AttemptId

/**
 * The attempt whose answer counts. [accepted] is set once the answer's head proved to be this attempt's; [seenTokens]
 * is one more than the greatest token index that the attempt is past.
 */
data class CurrentAttempt(
    val attempt: AttemptId,
    val accepted: Boolean = false,
    val seenTokens: Long,
)

/** One request. The caller has the tokens 0 until [tokensGiven]. No attempt is [current] between two tries. */
data class AttemptState(
    val current: CurrentAttempt? = null,
    val tokensGiven: Long = 0,
    val ended: Boolean = false,
)
