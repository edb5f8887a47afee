/*
 * Timeline events, which operators read merged across all processes.
 */
package org.vanillalink.model

import java.time.Instant

/** An event in one process; [fields] are logged as key=value pairs. */
data class TimelineEvent(
    val at: Instant,
    val daemon: DaemonId,
    val sequence: Long,
    val name: String,
    val fields: Map<String, String> = emptyMap(),
)
