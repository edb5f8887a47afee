/*
 * The configuration in force, indexed for the serving path. Versions only go forward within one run of the process.
 */
package org.vanillalink.serving.catalog

import org.vanillalink.model.ServiceName

/** One version of the configuration with its look-ups. */
class Catalog(
    val configuration: ServingConfiguration,
) {
    private val routes = RouteTable(configuration.routes)
    private val services = configuration.services.associateBy { it.name }
    private val workspaces =
        configuration.workspaces.flatMap { workspace -> workspace.keys.map { it to workspace } }.toMap()

    /** Whether requests on routes that aren't public need a key. */
    val isKeyRequired: Boolean = configuration.workspaces.isNotEmpty()

    /** The route for [host] and [path], or null. */
    fun findRoute(
        host: String,
        path: String,
    ): Route? = routes.find(host, path)

    /** The service named [name], or null. */
    fun findService(name: ServiceName): ServiceDefinition? = services[name]

    /** The workspace that holds [key], or null. */
    fun findWorkspace(key: String): Workspace? = workspaces[key]

    /** The newer of this catalog and [candidate]. */
    fun selectNewer(candidate: ServingConfiguration): Catalog =
        if (candidate.version > configuration.version) Catalog(candidate) else this
}
