/*
 * The router's part of the configuration.
 */
package org.vanillalink.routing

import org.vanillalink.configuration.ConfigurationDocument
import org.vanillalink.model.WorkspaceId
import java.time.Duration

/**
 * [queuedRequests] bounds each service's queue. [retryFraction] is how many retries each first attempt earns, up to
 * [retryBurst]. A remote report older than [remoteReportFreshness] isn't used. The part used of a returned failure
 * domain's reported capacity grows to the whole within [remoteSlowStart]. Cached prefixes learned before a gap in the
 * events are forgotten [cacheGapRetention] after it. Overload has ended after [overloadQuietPeriod] without a refusal.
 */
data class RouterSettings(
    val workspaceShares: Map<WorkspaceId, Int> = emptyMap(),
    val queuedRequests: Int = 256,
    val retryFraction: Double = 0.1,
    val retryBurst: Int = 10,
    val remoteReportFreshness: Duration = REMOTE_REPORT_FRESHNESS,
    val remoteSlowStart: Duration = REMOTE_SLOW_START,
    val cacheGapRetention: Duration = CACHE_GAP_RETENTION,
    val overloadQuietPeriod: Duration = OVERLOAD_QUIET_PERIOD,
) {
    companion object {
        private val REMOTE_REPORT_FRESHNESS = Duration.ofSeconds(3)
        private val REMOTE_SLOW_START = Duration.ofSeconds(20)
        private val CACHE_GAP_RETENTION = Duration.ofSeconds(10)
        private val OVERLOAD_QUIET_PERIOD = Duration.ofSeconds(5)

        /** The settings that [document] gives. */
        fun from(document: ConfigurationDocument): RouterSettings = RouterSettings(
            workspaceShares = document.workspaces.mapValues { it.value.share },
            queuedRequests = document.limits.queuedRequests,
            retryFraction = document.limits.retryFraction,
        )
    }
}
