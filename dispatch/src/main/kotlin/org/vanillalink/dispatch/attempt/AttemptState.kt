/*
 * Progress of the response to one request.
 */
package org.vanillalink.dispatch.attempt

import org.vanillalink.model.AttemptId

/**
 * The only attempt whose response is used. [isHeadAccepted] is set once the head of the response proved to belong to
 * this attempt; [nextTokenIndex] is one more than the greatest token index received from the attempt, or initially the
 * number of tokens that the caller already has.
 */
data class CurrentAttempt(
    val attempt: AttemptId,
    val isHeadAccepted: Boolean = false,
    val nextTokenIndex: Long,
)

/** One request. The caller has tokens 0 until [tokensDelivered] (exclusive). [current] is null between attempts. */
data class AttemptState(
    val current: CurrentAttempt? = null,
    val tokensDelivered: Long = 0,
    val isCompleted: Boolean = false,
)
