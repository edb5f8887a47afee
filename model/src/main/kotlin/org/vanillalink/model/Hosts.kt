/*
 * Hosts as listed by the platform. The list is eventually consistent and can be several seconds out of date.
 */
package org.vanillalink.model

/** LEAVING: the platform is about to withdraw the host. */
enum class HostStatus { LIVE, LEAVING }

/** The kind of target that runs on a host. */
enum class HostRole { MODEL_ENGINE, PLAIN_SERVICE }

/** A TCP endpoint; [address] is an IP address. */
data class Endpoint(
    val address: String,
    val port: Int,
) {
    override fun toString(): String = "$address:$port"

    companion object {
        private val VALID_PORTS = 1..65_535

        /** Parses `address:port`; null if [text] is malformed. */
        fun parse(text: String): Endpoint? {
            val address = text.substringBeforeLast(':', missingDelimiterValue = "")
            val port = text.substringAfterLast(':').toIntOrNull() ?: return null
            if (address.isEmpty() || port !in VALID_PORTS) return null
            return Endpoint(address, port)
        }
    }
}

/** One entry of the platform's host list. [service] is set only for a plain service's host, which runs no other. */
data class Host(
    val id: HostId,
    val endpoint: Endpoint,
    val failureDomain: FailureDomainId,
    val fabricDomain: FabricDomainId,
    val role: HostRole,
    val status: HostStatus = HostStatus.LIVE,
    val accelerators: Int = 1,
    val checksFencing: Boolean = false,
    val service: ServiceName? = null,
)
