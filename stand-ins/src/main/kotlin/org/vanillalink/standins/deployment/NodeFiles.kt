/*
 * The settings files that the platform provides to daemons.
 */
package org.vanillalink.standins.deployment

import org.vanillalink.model.Endpoint

/** Generates the settings files of a deployment in [zones] whose metadata store is at [store]. */
class NodeFiles(
    private val zones: List<String>,
    private val store: Endpoint,
) {
    /** Content for the daemon [name] in [zone], which uses [PORTS_PER_DAEMON] ports starting at [firstPort]. */
    fun settingsOf(
        name: String,
        zone: String,
        firstPort: Int,
    ): Map<String, Any> = mapOf(
        "nodeName" to name,
        "ip" to HOST,
        "zone" to zone,
        "zones" to zones.associateWith { "lagos" },
        "listen" to mapOf("front" to "$HOST:$firstPort", "ready" to "$HOST:${firstPort + 1}"),
        "internalPorts" to listOf(firstPort + PEER_PORT_OFFSET, firstPort + PEER_PORT_OFFSET),
        "bootstrap" to true,
        "bounds" to mapOf("graceS" to GRACE_SECONDS, "revokeMs" to REVOCATION_MILLISECONDS),
        "platform" to mapOf("address" to store.toString()),
    )

    companion object {
        /** One each for callers, readiness, peers and metrics. */
        const val PORTS_PER_DAEMON = 4
        private const val PEER_PORT_OFFSET = 2

        /** The same value as in the users' deployments. */
        private const val GRACE_SECONDS = 8
        private const val REVOCATION_MILLISECONDS = 5_000
        private const val HOST = "127.0.0.1"
    }
}
