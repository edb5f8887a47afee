/*
 * The settings of a daemon on an entry host, from its deployment.
 */
package org.vanillalink.gateway.ports

import org.vanillalink.model.DaemonId
import org.vanillalink.model.Endpoint
import org.vanillalink.model.FailureDomainId

/** Identity, endpoints and limits. */
data class GatewaySettings(
    val daemon: DaemonId,
    val failureDomain: FailureDomainId,
    val failureDomains: Set<FailureDomainId>,
    val callerEndpoint: Endpoint,
    val readinessEndpoint: Endpoint,
    val peerEndpoint: Endpoint,
    val metricsEndpoint: Endpoint,
    val storeEndpoint: Endpoint,
    /** Whether the whole system starts for the first time, so that no earlier daemon can have work in progress. */
    val isFirstStart: Boolean,
    val limits: GatewayLimits,
    /** The capacity of the host's link in each direction, or null where it is unknown. */
    val linkBytesPerSecond: Long? = null,
)

/** The limits that the deployment guarantees to its users. */
data class GatewayLimits(
    /** The time from SIGTERM until the process is killed. */
    val graceMilliseconds: Long = 8_000,
    /** How long an answer may be on its way from a target that has completed it to the caller. */
    val deliveryMilliseconds: Long = 200,
    /** How long a revoked key may still be accepted. */
    val revocationMilliseconds: Long = 5_000,
    /** How long a leaving target may still get new requests after its entry says that it leaves. */
    val drainMilliseconds: Long = 2_000,
    /** How long targets may take to write entries again that expired in an outage. */
    val relistMilliseconds: Long = 2_000,
    val retryRatio: Double = 0.2,
    val retryWindowMilliseconds: Long = 10_000,
    val retrySlack: Double = 100.0,
)
