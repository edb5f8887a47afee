/*
 * The settings files that the platform gives to daemons.
 */
package org.vanillalink.standins.deployment

import org.vanillalink.model.Endpoint

/** Files for a deployment over [zones] with its metadata store at [store]. */
internal class NodeFiles(
    private val zones: List<String>,
    private val store: Endpoint,
) {
    /** The file of the daemon [name] in [zone], which may use [PORTS_PER_DAEMON] ports from [firstPort] on. */
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
        /** Callers, readiness, peers, and one for metrics. */
        const val PORTS_PER_DAEMON = 4
        private const val PEER_PORT_OFFSET = 2

        /** As on the users' sites. */
        private const val GRACE_SECONDS = 8
        private const val REVOCATION_MILLISECONDS = 5_000
        private const val HOST = "127.0.0.1"
    }
}
