/*
 * Finds the route of a request in time that follows the depth of its path, however many routes there are.
 */
package org.vanillalink.serving.catalog

/** The routes of one configuration by host and prefix. */
class RouteTable(
    routes: List<Route>,
) {
    private val routesByHost: Map<String, Map<String, Route>> =
        routes.groupBy { it.host.lowercase() }.mapValues { (_, hostRoutes) -> hostRoutes.associateBy { it.prefix } }

    /** The route with the longest prefix that begins [path], or null. [host] may carry a port. */
    fun find(
        host: String,
        path: String,
    ): Route? {
        val routesByPrefix = routesByHost[host.substringBefore(':').lowercase()] ?: return null
        var end = path.lastIndexOf('/')
        while (end >= 0) {
            routesByPrefix[path.substring(0, end + 1)]?.let { return it }
            end = if (end == 0) -1 else path.lastIndexOf('/', end - 1)
        }
        return null
    }
}
