/*
 * Hosts as the platform lists them. The list lags behind the truth by seconds.
 */
package org.vanillalink.model

/** Whether the platform keeps a host or is about to take it away. */
enum class HostStatus { LIVE, LEAVING }

/** What a host's target runs. */
enum class HostRole { MODEL_ENGINE, PLAIN_SERVICE }

/** A TCP endpoint by IP number. */
data class Endpoint(
    val address: String,
    val port: Int,
) {
    override fun toString(): String = "$address:$port"

    companion object {
        private val VALID_PORTS = 1..65_535

        /** Reads `address:port`, or null where [text] has another shape. */
        fun parse(text: String): Endpoint? {
            val address = text.substringBeforeLast(':', missingDelimiterValue = "")
            val port = text.substringAfterLast(':').toIntOrNull() ?: return null
            if (address.isEmpty() || port !in VALID_PORTS) return null
            return Endpoint(address, port)
        }
    }
}

/** One entry of the platform's host list. [service] is set for a plain service's host, which serves only that one. */
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
