/*
 * How far the answer to one request is.
 */
package org.vanillalink.dispatch.attempt

import org.vanillalink.model.AttemptId

/**
 * The attempt whose answer counts. [isHeadAccepted] is set once the answer's head proved to be this attempt's;
 * [nextTokenIndex] is one more than the greatest token index that the attempt is past.
 */
data class CurrentAttempt(
    val attempt: AttemptId,
    val isHeadAccepted: Boolean = false,
    val nextTokenIndex: Long,
)

/** One request. The caller has the tokens 0 until [tokensDelivered]. No attempt is [current] between two tries. */
data class AttemptState(
    val current: CurrentAttempt? = null,
    val tokensDelivered: Long = 0,
    val isCompleted: Boolean = false,
)
