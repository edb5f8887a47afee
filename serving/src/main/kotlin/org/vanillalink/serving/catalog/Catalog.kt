/*
 * The current configuration, indexed for the serving path. Versions only increase while the process runs.
 */
package org.vanillalink.serving.catalog

import org.vanillalink.model.ServiceName

/** One version of the configuration, with indexes for look-ups. */
class Catalog(
    val configuration: ServingConfiguration,
) {
    private val routes = RouteTable(configuration.routes)
    private val services = configuration.services.associateBy { it.name }
    private val workspaces =
        configuration.workspaces.flatMap { workspace -> workspace.keys.map { it to workspace } }.toMap()

    /** Whether requests on routes that aren't public require a key; false if no workspace is configured. */
    val isKeyRequired: Boolean = configuration.workspaces.isNotEmpty()

    /** Returns the route for [host] and [path], or null. */
    fun findRoute(
        host: String,
        path: String,
    ): Route? = routes.find(host, path)

    fun findService(name: ServiceName): ServiceDefinition? = services[name]

    /** Returns the workspace that [key] belongs to, or null. */
    fun findWorkspace(key: String): Workspace? = workspaces[key]

    private val hasWorkspacePriorities = configuration.workspaces.any { it.priority != null }

    /** The services whose routes or workspaces differ in priority, so that their requests are ordered. */
    private val prioritizedServices: Set<ServiceName> =
        configuration.routes
            .flatMap { route -> route.services.map { it.service to route.priority } }
            .groupBy({ it.first }, { it.second })
            .filterValues { priorities -> hasWorkspacePriorities || priorities.toSet().size > 1 }
            .keys

    /** Whether requests for [service] differ in priority. */
    fun hasPriorities(service: ServiceName): Boolean = service in prioritizedServices

    /** How long callers of [service] wait for the next event of a stream, in milliseconds. */
    fun callerPatienceMilliseconds(service: ServiceName): Long = configuration.routes
        .filter { route -> route.kind == CallKind.STREAM && route.services.any { it.service == service } }
        .maxOfOrNull { maxOf(it.latencyGoalMilliseconds * PATIENT_GOALS, it.maxEventGapMilliseconds * PATIENT_GAPS) }
        .let { maxOf(it ?: 0, MIN_PATIENCE_MILLISECONDS) }

    /** Returns a catalog of [candidate] if its version is newer, or else this one. */
    fun selectNewer(candidate: ServingConfiguration): Catalog =
        if (candidate.version > configuration.version) Catalog(candidate) else this

    private companion object {
        /**
         * Callers give up a stream after a pause of this time, or of a multiple of its route's goals if that is
         * longer.
         */
        const val MIN_PATIENCE_MILLISECONDS = 2_000L
        const val PATIENT_GOALS = 4
        const val PATIENT_GAPS = 8
    }
}
