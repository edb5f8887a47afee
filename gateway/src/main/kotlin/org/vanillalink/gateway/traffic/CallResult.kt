/*
 * How an admitted request ended.
 */
package org.vanillalink.gateway.traffic

/** [trail] lists the tried targets with their load, and how each attempt failed. */
internal data class CallResult(
    val outcome: String,
    val status: Int,
    val trail: String,
    val attempts: Int,
    val timing: StreamTiming?,
    /** How long an attempt still in progress at the end had taken, or null where there was none. */
    val lastAttemptMilliseconds: Long?,
    /** How long the request waited at this daemon for room, or null if it was not queued. */
    val waitedMilliseconds: Long? = null,
)
