/*
 * Index of the directory's targets by service and failure domain. It is built once per change of the directory, so that
 * code that looks at a failure domain many times per second doesn't iterate over the whole fleet each time.
 */
package org.vanillalink.serving.targets

import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.HostId
import org.vanillalink.model.ServiceName

/** Immutable index of [directory]. */
class TargetIndex(
    val directory: TargetDirectory,
) {
    private data class ServiceLocation(
        val service: ServiceName,
        val failureDomain: FailureDomainId,
    )

    private val entries = groupByLocation(directory.entries)
    private val removedEntries = groupByLocation(directory.removedEntries)
    private val countsByService =
        directory.entries.values
            .groupingBy { it.service }
            .eachCount()

    /** Targets of plain services, which serve no model, by service. */
    val plainTargets: Map<ServiceName, List<TargetEntry>> =
        directory.entries.values
            .filter { it.model == null && it.fabricDomain == null }
            .groupBy { it.service }

    /** The entries of [service] in [failureDomain]. */
    fun entries(
        service: ServiceName,
        failureDomain: FailureDomainId,
    ): Map<HostId, TargetEntry> = entries[ServiceLocation(service, failureDomain)].orEmpty()

    /** The recently removed entries of [service] in [failureDomain]. */
    fun removedEntries(
        service: ServiceName,
        failureDomain: FailureDomainId,
    ): Map<HostId, TargetEntry> = removedEntries[ServiceLocation(service, failureDomain)].orEmpty()

    /** The fraction of [service]'s targets that is in [failureDomain], from 0 to 1. */
    fun targetFraction(
        service: ServiceName,
        failureDomain: FailureDomainId,
    ): Double = entries(service, failureDomain).size.toDouble() / maxOf(1, countsByService[service] ?: 0)

    /** Returns this index, or a new one if [current] is another directory. */
    fun updatedFor(current: TargetDirectory): TargetIndex = if (current === directory) this else TargetIndex(current)

    private fun groupByLocation(targets: Map<HostId, TargetEntry>): Map<ServiceLocation, Map<HostId, TargetEntry>> =
        targets.values
            .groupBy { ServiceLocation(it.service, it.failureDomain) }
            .mapValues { (_, entriesAtLocation) -> entriesAtLocation.associateBy { it.id } }
}
