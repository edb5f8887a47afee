/*
 * The checked settings of one daemon.
 */
package org.vanillalink.daemon.settings

import org.vanillalink.model.DaemonId
import org.vanillalink.model.Endpoint
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.RegionId
import java.time.Duration

/**
 * Where a daemon stands and listens. [secret] guards the operators' port and the messages between daemons; without it
 * the daemon listens on the loopback interface only. [seeds] are peers' endpoints that are tried first.
 */
data class DaemonSettings(
    val daemon: DaemonId,
    val failureDomain: FailureDomainId,
    val region: RegionId,
    val listen: Endpoint,
    val operatorsListen: Endpoint,
    val peersListen: Endpoint,
    val platform: Endpoint,
    val seeds: List<Endpoint>,
    val secret: String?,
    val drainTimeout: Duration,
    val trafficThreads: Int,
)

/** A setting that can't be used, with what is allowed. */
data class SettingsProblem(
    val setting: String,
    val value: String,
    val allowed: String,
) {
    override fun toString(): String = "$setting: '$value' is not allowed; allowed: $allowed"
}
