/*
 * Settings of the model engine stand-in.
 */
package org.vanillalink.standins.engine

import org.vanillalink.model.HostId

/** [coldRequests] and [warmRequests] are the concurrent requests that a cold and a warm engine can handle. */
data class EngineSettings(
    val host: HostId,
    val checksFencing: Boolean = false,
    val loadMilliseconds: Long = 500,
    val tokenMilliseconds: Long = 5,
    val coldRequests: Int = 2,
    val warmRequests: Int = 64,
)
