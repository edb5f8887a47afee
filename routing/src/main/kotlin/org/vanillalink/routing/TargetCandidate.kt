/*
 * What the router may send requests to: targets that it sees in detail, and daemons of other failure domains that told
 * their free capacity.
 */
package org.vanillalink.routing

import org.vanillalink.model.BootId
import org.vanillalink.model.DaemonId
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.HostId
import org.vanillalink.model.ServiceName
import java.time.Instant

/** A target's load as it last reported it; it lags. [freeCacheFraction] is 0.0 to 1.0. */
data class ReportedLoad(
    val running: Int,
    val queued: Int,
    val freeCacheFraction: Double,
    val reportedAt: Instant,
)

/**
 * A serving group's entry host or a plain service's host.
 *
 * [capacity] is how many requests at once the target bears from all daemons together. [admissionUnits] is how many this
 * daemon may have there at once; null for a warm target, where [capacity] alone binds.
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

/** What a daemon of another failure domain told about [service] there; [freeRequests] counts requests, not targets. */
data class RemoteCapacity(
    val daemon: DaemonId,
    val failureDomain: FailureDomainId,
    val service: ServiceName,
    val servingGroups: Int,
    val freeRequests: Int,
    val queueLength: Int,
    val reportedAt: Instant,
)
