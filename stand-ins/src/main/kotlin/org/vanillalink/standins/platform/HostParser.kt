/*
 * Parses hosts from the command line.
 */
package org.vanillalink.standins.platform

import org.vanillalink.model.Endpoint
import org.vanillalink.model.FabricDomainId
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.Host
import org.vanillalink.model.HostId
import org.vanillalink.model.HostRole
import org.vanillalink.model.ServiceName

private const val ID = 0
private const val ENDPOINT = 1
private const val FAILURE_DOMAIN = 2
private const val FABRIC_DOMAIN = 3
private const val ROLE = 4
private const val FENCING = 5
private const val SERVICE = 6

/** Parses `id,address:port,failure domain,fabric domain,role,fenced|unfenced[,service]`. */
fun parseHost(text: String): Host {
    val parts = text.split(',')
    return Host(
        id = HostId(parts[ID]),
        endpoint = requireNotNull(Endpoint.parse(parts[ENDPOINT])) { "expected address:port in field 2, got $text" },
        failureDomain = FailureDomainId(parts[FAILURE_DOMAIN]),
        fabricDomain = FabricDomainId(parts[FABRIC_DOMAIN]),
        role = HostRole.valueOf(parts[ROLE]),
        checksFencing = parts[FENCING] == "fenced",
        service = parts.getOrNull(SERVICE)?.let(::ServiceName),
    )
}
