/*
 * What the operator has configured, as the serving path reads it: routes, services, models and workspaces. A version
 * replaces the one before it as a whole.
 */
package org.vanillalink.serving.catalog

import org.vanillalink.model.ServiceName
import org.vanillalink.model.WorkspaceId

/** How often a request may run: as often as needed, once at the most, or once with a resumable answer. */
enum class CallKind { IDEMPOTENT, NON_IDEMPOTENT, STREAM }

/** A service that takes a part of a route's requests in proportion to [weight]. */
data class WeightedService(
    val service: ServiceName,
    val weight: Int,
)

/** Where requests for a host and path prefix go. Times are milliseconds; rank 0 of [priority] is the most urgent. */
data class Route(
    val name: String,
    val host: String,
    val prefix: String,
    val kind: CallKind,
    val services: List<WeightedService>,
    val timeoutMilliseconds: Long,
    val latencyGoalMilliseconds: Long,
    val priority: Int,
    /** The greatest number of targets that one request may be sent to. */
    val maxAttempts: Int,
    /** Whether requests need no key. */
    val isPublic: Boolean,
    /** Whether a stream may go on at another target after the last event that arrived. */
    val isResumable: Boolean,
    /** The longest pause between two events that the operator still counts as on time. */
    val maxEventGapMilliseconds: Long,
) {
    /** Whether a second run of a request does no harm. */
    val isRepeatable: Boolean get() = kind == CallKind.IDEMPOTENT || (kind == CallKind.STREAM && isResumable)
}

/** A model that groups of [size] members serve. [timeFactor] multiplies all of the engine's times. */
data class ModelDefinition(
    val name: String,
    val size: Int,
    val share: Double,
    val timeFactor: Double,
    val loadMilliseconds: Long,
    val stagedLoadMilliseconds: Long,
)

/** The batching engine behind a service; times are milliseconds. */
data class EngineDefinition(
    val slots: Int,
    val models: List<ModelDefinition>,
    val stepMilliseconds: Double,
    val perSequenceMilliseconds: Double,
    val prefillTokensPerSecond: Double,
    val stepsPerPass: Int,
    val loadsPerSecond: Double,
    val concurrentLoads: Int,
    val openMilliseconds: Long,
    /** How many models a host keeps ready to load without the weight store. */
    val stagedModelsPerHost: Int,
) {
    /** How many members a group of the model [name] has, or null where there is no such model. */
    fun groupSize(name: String?): Int? = models.firstOrNull { it.name == name }?.size
}

/** One service. [coldRequestsPerSecond] of 0 means that its targets are never cold. */
data class ServiceDefinition(
    val name: ServiceName,
    val healthPath: String,
    val connectionsPerTarget: Int,
    val coldRequestsPerSecond: Double,
    val engine: EngineDefinition?,
)

/** A workspace with its keys. Its [priority], where set, goes before that of a route. */
data class Workspace(
    val id: WorkspaceId,
    val keys: Set<String>,
    val priority: Int?,
)

/** What callers may send, and how long a connection may stay idle. */
data class CallerLimits(
    val headerBytes: Int = 16_384,
    val bodyBytes: Int = 4_194_304,
    val idleMilliseconds: Long = 15_000,
)

/** One version of the configuration. */
data class ServingConfiguration(
    val version: Long,
    val routes: List<Route>,
    val services: List<ServiceDefinition>,
    val workspaces: List<Workspace>,
    val limits: CallerLimits,
)
