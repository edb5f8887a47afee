/*
 * What a request asks of its target, as far as the choice of the target depends on it.
 */
package org.vanillalink.serving.balancing

/** Times are milliseconds on the steady clock. */
data class RequestWork(
    /** Tokens of the prompt, or 0 if the caller doesn't say. */
    val promptTokens: Int = 0,
    /** Tokens of the answer that the caller expects, or null if it doesn't say. */
    val answerTokens: Int? = null,
    /** 0 is the most urgent; null where requests for the service don't differ in priority. */
    val priority: Int? = null,
    /** Until when the first event, or the whole answer of a plain service, is on time. */
    val goalAt: Long = Long.MAX_VALUE,
) {
    /** In tokens; a request that names none counts as one. */
    val cost: Double get() = maxOf(1, promptTokens + (answerTokens ?: 0)).toDouble()
}
