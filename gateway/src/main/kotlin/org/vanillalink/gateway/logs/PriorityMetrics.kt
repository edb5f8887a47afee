/*
 * Metrics of how callers that compete fare: by priority, and by workspace.
 */
package org.vanillalink.gateway.logs

import io.micrometer.core.instrument.MeterRegistry
import org.vanillalink.gateway.traffic.CallResult
import org.vanillalink.model.WorkspaceId
import java.time.Duration

/** Confined to the traffic thread. */
internal class PriorityMetrics(
    private val meterRegistry: MeterRegistry,
) {
    private val workspaces = HashSet<WorkspaceId>()

    /** Counts a request of [priority] and [workspace] that ended with [result]. */
    fun record(
        priority: Int,
        workspace: WorkspaceId?,
        result: CallResult,
        isFailure: Boolean,
    ) {
        val outcome =
            when {
                !isFailure -> "served"
                result.status == STATUS_UNAVAILABLE && result.attempts == 0 -> "refused"
                else -> "failed"
            }
        meterRegistry
            .counter("vanillalink.requests.by.priority", "priority", priority.toString(), "outcome", outcome)
            .increment()
        meterRegistry
            .counter("vanillalink.requests.by.workspace", "workspace", labelOf(workspace), "outcome", outcome)
            .increment()
        result.waitedMilliseconds?.let {
            meterRegistry
                .timer("vanillalink.requests.waited", "priority", priority.toString(), "outcome", outcome)
                .record(Duration.ofMillis(it))
        }
    }

    private fun labelOf(workspace: WorkspaceId?): String = when {
        workspace == null -> "none"
        workspace in workspaces -> workspace.value
        workspaces.size < MAX_WORKSPACES -> workspace.value.also { workspaces.add(workspace) }
        else -> "other"
    }

    private companion object {
        const val STATUS_UNAVAILABLE = 503

        /** Bounds what is kept and scraped. */
        const val MAX_WORKSPACES = 100
    }
}
