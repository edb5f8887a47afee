/*
 * Events of the time line, which operators read over all processes in one order.
 */
package org.vanillalink.model

import java.time.Instant

/** One thing that happened in one process; [fields] are printed as key=value pairs. */
data class TimelineEvent(
    val at: Instant,
    val daemon: DaemonId,
    val sequence: Long,
    val name: String,
    val fields: Map<String, String> = emptyMap(),
)
