/*
 * Settings of the router, some of which come from the configuration.
 */
package org.vanillalink.routing

import org.vanillalink.configuration.ConfigurationDocument
import org.vanillalink.model.WorkspaceId
import java.time.Duration

/**
 * [queuedRequests] bounds each service's queue. [retryFraction] is how many retries each first attempt earns, up to
 * [retryBurst]. Remote reports older than [remoteReportFreshness] are not used. After a failure domain returns to
 * service, the usable fraction of its reported capacity grows to 1 within [remoteSlowStart]. Cached prefixes learned
 * before a gap in the cache events are removed [cacheGapRetention] after it. An overload ends when nothing was refused
 * for lack of capacity for [overloadQuietPeriod].
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

        /** Returns the settings of [document], and defaults for those that it does not contain. */
        fun from(document: ConfigurationDocument): RouterSettings = RouterSettings(
            workspaceShares = document.workspaces.mapValues { it.value.share },
            queuedRequests = document.limits.queuedRequests,
            retryFraction = document.limits.retryFraction,
        )
    }
}
