/*
 * Which targets of the own failure domain take requests: those of rank 0 in groups that serve, and plain services.
 */
package org.vanillalink.control.admission

import org.vanillalink.admission.LedgerEvent
import org.vanillalink.configuration.ConfigurationDocument
import org.vanillalink.configuration.ServiceKind
import org.vanillalink.groups.ServingState
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.Host
import org.vanillalink.model.HostId

internal object AdmissionTargets {
    /** The targets by host, as the ledger has to know them. */
    fun select(
        document: ConfigurationDocument,
        hosts: Map<HostId, Host>,
        serving: ServingState,
        failureDomain: FailureDomainId,
    ): Map<HostId, LedgerEvent.TargetAdded> = document.services.entries
        .flatMap { (service, settings) ->
            val entryHosts =
                when (settings.kind) {
                    ServiceKind.MODEL -> {
                        serving.servingGroups(service).mapNotNull { hosts[it.members.first()] }
                    }

                    ServiceKind.PLAIN -> {
                        hosts.values.filter { it.service == service && it.failureDomain == failureDomain }
                    }
                }
            entryHosts.map { LedgerEvent.TargetAdded(it.id, it.checksFencing, settings.requestsPerGroup) }
        }.associateBy { it.host }
}
