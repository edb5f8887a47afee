/*
 * The operator's configuration of the serving path: routes, services, models and workspaces. Each version replaces the
 * previous one completely.
 */
package org.vanillalink.serving.catalog

import org.vanillalink.model.ServiceName
import org.vanillalink.model.WorkspaceId

/** How often a request may run: repeatedly, at most once, or once with an answer stream that may be resumable. */
enum class CallKind { IDEMPOTENT, NON_IDEMPOTENT, STREAM }

/** A service that receives a fraction of a route's requests in proportion to [weight]. */
data class WeightedService(
    val service: ServiceName,
    val weight: Int,
)

/** Routing rule for a host and path prefix. A [priority] of 0 is the most urgent. */
data class Route(
    val name: String,
    val host: String,
    val prefix: String,
    val kind: CallKind,
    val services: List<WeightedService>,
    val timeoutMilliseconds: Long,
    val latencyGoalMilliseconds: Long,
    val priority: Int,
    /** The maximum number of targets that one request may be sent to. */
    val maxAttempts: Int,
    /** Whether requests are accepted without a key. */
    val isPublic: Boolean,
    /** Whether a stream may be resumed at another target, after the last event that arrived. */
    val isResumable: Boolean,
    /** The longest gap between two events that the operator still regards as on time. */
    val maxEventGapMilliseconds: Long,
) {
    /** Whether a request may safely be executed again. */
    val isRepeatable: Boolean get() = kind == CallKind.IDEMPOTENT || (kind == CallKind.STREAM && isResumable)
}

/** A model served by groups of [size] members. [timeFactor] scales all of the engine's times. */
data class ModelDefinition(
    val name: String,
    val size: Int,
    val share: Double,
    val timeFactor: Double,
    val loadMilliseconds: Long,
    val stagedLoadMilliseconds: Long,
)

/** Settings of the batching engine behind a service. */
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
    /** How many models a host keeps staged, so that it can load them without the weight store. */
    val stagedModelsPerHost: Int,
    /** Added to a step for each 1,000 tokens of context of each request that is writing. */
    val contextMilliseconds: Double = 0.0,
    /** Added to reading for each million pairs of a token and an earlier one. */
    val pairsMilliseconds: Double = 0.0,
    /** Prompt tokens that are read in one pass at most; 0 if the engine doesn't say. */
    val chunkTokens: Int = 0,
    /** Mean tokens of a prompt and of an answer, or 0 if the engine doesn't say. */
    val usualPromptTokens: Int = 0,
    val usualAnswerTokens: Int = 0,
    /** How old the figures in a target's report are. */
    val reportLagMilliseconds: Long = 0,
    /** Tokens that a group can hold in memory, or 0 if the engine doesn't say. */
    val capacityTokens: Long = 0,
) {
    /** Number of members in a group of the model [name], or null if there is no such model. */
    fun groupSize(name: String?): Int? = models.firstOrNull { it.name == name }?.size
}

/** One service. If [coldRequestsPerSecond] is 0, its targets are never cold. */
data class ServiceDefinition(
    val name: ServiceName,
    val healthPath: String,
    val connectionsPerTarget: Int,
    val coldRequestsPerSecond: Double,
    val engine: EngineDefinition?,
) {
    /** What a request of [model] needs the capacity of: the model, or this service if it has no engine. */
    fun capacityName(model: String?): String? = if (engine == null) name.value else model
}

/** A workspace and its keys. Its [priority], if set, overrides that of the route. */
data class Workspace(
    val id: WorkspaceId,
    val keys: Set<String>,
    val priority: Int?,
)

/** Limits for callers' requests and idle connections. */
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
