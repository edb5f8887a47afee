/*
 * Finds the route of a request by host and path prefix. The cost grows with the depth of the path, not with the number
 * of routes.
 */
package org.vanillalink.serving.catalog

/** Index of the routes of one configuration by host and path prefix. */
class RouteTable(
    routes: List<Route>,
) {
    private val routesByHost: Map<String, Map<String, Route>> =
        routes.groupBy { it.host.lowercase() }.mapValues { (_, hostRoutes) -> hostRoutes.associateBy { it.prefix } }

    /** Returns the route with the longest matching prefix of [path], or null. [host] may include a port. */
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
