/*
 * How an admitted request ended.
 */
package org.vanillalink.gateway.traffic

/** [trail] names the targets tried, with what was known of them and how each attempt failed. */
internal data class CallResult(
    val outcome: String,
    val status: Int,
    val trail: String,
    val attempts: Int,
    val timing: StreamTiming?,
    /** How long an attempt that was still under way had been at its target, or null where none was. */
    val lastAttemptMilliseconds: Long?,
)
