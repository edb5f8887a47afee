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
    /** Whether [address] is an IP address and not a name. A function, since a property would be written as JSON. */
    fun hasLiteralAddress(): Boolean = IPV4_ADDRESS.matches(address) || IPV6_ADDRESS.matches(address)

    override fun toString(): String = "$address:$port"

    companion object {
        private val VALID_PORTS = 1..65_535
        private val IPV4_ADDRESS = Regex("(25[0-5]|2[0-4]\\d|1?\\d?\\d)(\\.(25[0-5]|2[0-4]\\d|1?\\d?\\d)){3}")
        private val IPV6_ADDRESS = Regex("\\[?[0-9a-fA-F:]*:[0-9a-fA-F:.]*]?")

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
