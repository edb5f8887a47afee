/*
 * Destinations of requests: targets with their individual load, and daemons of other failure domains with the free
 * capacity that they report.
 */
package org.vanillalink.routing

import org.vanillalink.model.BootId
import org.vanillalink.model.DaemonId
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.HostId
import org.vanillalink.model.ServiceName
import java.time.Instant

/** A target's last reported load, which lags behind. [freeCacheFraction] is 0.0 to 1.0. */
data class ReportedLoad(
    val running: Int,
    val queued: Int,
    val freeCacheFraction: Double,
    val reportedAt: Instant,
)

/**
 * A serving group's entry host or a plain service's host.
 *
 * [capacity] is the number of concurrent requests that the target can take from all daemons together. [admissionUnits]
 * is how many of these this daemon may have running; null for a warm target, where only [capacity] applies.
 */
data class TargetCandidate(
    val host: HostId,
    val boot: BootId,
    val service: ServiceName,
    val failureDomain: FailureDomainId,
    val capacity: Int,
    val admissionUnits: Int? = null,
    val leaving: Boolean = false,
    val straggler: Boolean = false,
    val load: ReportedLoad? = null,
)

/** Capacity for [service] that a daemon of another failure domain reported; [freeRequests] counts requests. */
data class RemoteCapacity(
    val daemon: DaemonId,
    val failureDomain: FailureDomainId,
    val service: ServiceName,
    val servingGroups: Int,
    val freeRequests: Int,
    val queueLength: Int,
    val reportedAt: Instant,
)
