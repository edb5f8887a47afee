/*
 * The directory's targets by service and failure domain. It is built once for each change of the directory, so that
 * what looks at a failure domain many times a second doesn't go through the whole fleet each time.
 */
package org.vanillalink.serving.targets

import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.HostId
import org.vanillalink.model.ServiceName

/** An immutable picture of [directory]. */
class TargetIndex(
    val directory: TargetDirectory,
) {
    private data class Place(
        val service: ServiceName,
        val failureDomain: FailureDomainId,
    )

    private val entries = byPlace(directory.entries)
    private val former = byPlace(directory.former)
    private val counts =
        directory.entries.values
            .groupingBy { it.service }
            .eachCount()

    /** Targets that serve no model, by service. */
    val plain: Map<ServiceName, List<TargetEntry>> =
        directory.entries.values
            .filter { it.model == null && it.fabricDomain == null }
            .groupBy { it.service }

    /** The listed targets of [service] in [failureDomain]. */
    fun entries(
        service: ServiceName,
        failureDomain: FailureDomainId,
    ): Map<HostId, TargetEntry> = entries[Place(service, failureDomain)].orEmpty()

    /** The targets of [service] in [failureDomain] that were removed lately. */
    fun former(
        service: ServiceName,
        failureDomain: FailureDomainId,
    ): Map<HostId, TargetEntry> = former[Place(service, failureDomain)].orEmpty()

    /** The share of [service]'s targets that is in [failureDomain], from 0 to 1. */
    fun share(
        service: ServiceName,
        failureDomain: FailureDomainId,
    ): Double = entries(service, failureDomain).size.toDouble() / maxOf(1, counts[service] ?: 0)

    /** This index, or a new one where [current] is another directory. */
    fun of(current: TargetDirectory): TargetIndex = if (current === directory) this else TargetIndex(current)

    private fun byPlace(targets: Map<HostId, TargetEntry>): Map<Place, Map<HostId, TargetEntry>> = targets.values
        .groupBy { Place(it.service, it.failureDomain) }
        .mapValues { (_, ofPlace) -> ofPlace.associateBy { it.id } }
}
