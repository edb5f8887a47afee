/*
 * The configuration document. Each property of the document is a section that one team owns and edits independently.
 *
 * Durations are integers in milliseconds and sizes are in bytes; the property names carry the unit.
 */
package org.vanillalink.configuration

import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.HostId
import org.vanillalink.model.RegionId
import org.vanillalink.model.ServiceName
import org.vanillalink.model.WorkspaceId

/** The complete configuration that is in force at one revision. */
data class ConfigurationDocument(
    val services: Map<ServiceName, ServiceSettings> = emptyMap(),
    val workspaces: Map<WorkspaceId, WorkspaceSettings> = emptyMap(),
    val failureDomains: Map<FailureDomainId, FailureDomainSettings> = emptyMap(),
    val targets: TargetSettings = TargetSettings(),
    val limits: LimitSettings = LimitSettings(),
)

/** Whether a service is a language model or an ordinary HTTP service. */
enum class ServiceKind { MODEL, PLAIN }

/**
 * Settings of one service. A model has [groupsPerFailureDomain] serving groups of [membersPerGroup] hosts in each
 * failure domain. Requests to a plain service with one of [repeatableMethods] may be retried; all others run at most
 * once.
 */
data class ServiceSettings(
    val kind: ServiceKind,
    val membersPerGroup: Int = 1,
    val groupsPerFailureDomain: Int = 1,
    val requestsPerGroup: Int = 16,
    val priority: Int = 0,
    val repeatableMethods: Set<String> = setOf("GET", "HEAD", "OPTIONS"),
)

/**
 * Settings of one workspace. [share] is its weight relative to other workspaces under overload. [keyHashes] are the
 * SHA-256 hashes of its bearer keys in lower-case hexadecimal. An empty [services] allows all services.
 */
data class WorkspaceSettings(
    val share: Int = 1,
    val keyHashes: Set<String> = emptySet(),
    val services: Set<ServiceName> = emptySet(),
    val priority: Int = 0,
)

/** Whether operators allow a failure domain to take new work. */
enum class FailureDomainState { IN, OUT }

/** Settings of one failure domain. */
data class FailureDomainSettings(
    val region: RegionId,
    val state: FailureDomainState = FailureDomainState.IN,
)

/**
 * Settings for all targets. [coldRequests] is the number of concurrent requests that a cold target can take if its
 * report gives none. [checkingFencing] lists the hosts whose targets refuse orders with an outdated fencing number.
 */
data class TargetSettings(
    val coldRequests: Int = 1,
    val reportFreshMilliseconds: Long = 2_000,
    val checkingFencing: Set<HostId> = emptySet(),
    val weightLoadsAtOnce: Int = 2,
)

/** Limits that protect the system. [retryFraction] is the number of retries allowed per first attempt. */
data class LimitSettings(
    val requestBodyBytes: Int = 4_194_304,
    val queuedRequests: Int = 256,
    val defaultDeadlineMilliseconds: Long = 60_000,
    val retryFraction: Double = 0.1,
    val targetsPerPoisonRequest: Int = 2,
)
