/*
 * The settings of a daemon on an entry host, as its deployment gives them.
 */
package org.vanillalink.gateway.ports

import org.vanillalink.model.DaemonId
import org.vanillalink.model.Endpoint
import org.vanillalink.model.FailureDomainId

/** Addresses and bounds; times are milliseconds. */
data class GatewaySettings(
    val daemon: DaemonId,
    val failureDomain: FailureDomainId,
    val failureDomains: Set<FailureDomainId>,
    val callerEndpoint: Endpoint,
    val readinessEndpoint: Endpoint,
    val peerEndpoint: Endpoint,
    val metricsEndpoint: Endpoint,
    val storeEndpoint: Endpoint,
    /** Whether the whole system starts for the first time, so that nothing of an earlier run can be under way. */
    val isFirstStart: Boolean,
    val limits: GatewayLimits,
    /** What the host's link carries each way, or null where it isn't known. */
    val linkBytesPerSecond: Long? = null,
)

/** What the deployment promises its users; times are milliseconds. */
data class GatewayLimits(
    /** From SIGTERM until the process is killed. */
    val graceMilliseconds: Long = 8_000,
    /** How long a key that was taken away may still be accepted. */
    val revocationMilliseconds: Long = 5_000,
    /** How long a target that leaves may still get new requests after its entry says so. */
    val drainMilliseconds: Long = 2_000,
    /** How long entries that lapsed in an outage may take to come back. */
    val relistMilliseconds: Long = 2_000,
    val retryRatio: Double = 0.2,
    val retryWindowMilliseconds: Long = 10_000,
    val retrySlack: Double = 100.0,
)
