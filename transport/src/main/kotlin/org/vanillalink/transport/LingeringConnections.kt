/*
 * Connections on which the server has sent its last byte, and that wait for their callers to close them.
 */
package org.vanillalink.transport

/** Keeps at most [limit] connections of a server waiting, so that their descriptors are bounded. Thread-safe. */
internal class LingeringConnections(
    private val limit: Int,
) {
    private val connections = LinkedHashSet<ServerConnection>()

    /** Adds [connection]; the one that has waited longest is closed if there are too many. */
    fun add(connection: ServerConnection) {
        val oldest =
            synchronized(connections) {
                connections.add(connection)
                if (connections.size > limit) connections.first().also(connections::remove) else null
            }
        oldest?.endLingering(CallerConnectionEndReason.TOO_MANY_LINGERING)
    }

    fun remove(connection: ServerConnection) {
        synchronized(connections) { connections.remove(connection) }
    }
}
