/*
 * How an engine's stand-in behaves.
 */
package org.vanillalink.standins.engine

import org.vanillalink.model.HostId

/** Durations are milliseconds; requests are counted at once. */
data class EngineSettings(
    val host: HostId,
    val checksFencing: Boolean = false,
    val loadMilliseconds: Long = 500,
    val tokenMilliseconds: Long = 5,
    val coldRequests: Int = 2,
    val warmRequests: Int = 64,
)
