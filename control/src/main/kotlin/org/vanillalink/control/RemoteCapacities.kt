/*
 * What other failure domains offer, in the form that the router wants: one daemon stands for each failure domain.
 */
package org.vanillalink.control

import org.vanillalink.membership.MembershipState
import org.vanillalink.membership.RendezvousHash
import org.vanillalink.model.DaemonId
import org.vanillalink.model.FailureDomainId
import org.vanillalink.routing.RemoteCapacity
import org.vanillalink.routing.RouterEvent
import java.time.Instant

/** Remembers which daemon stands for which failure domain; confined to the control thread. */
internal class RemoteCapacities(
    private val self: DaemonId,
) {
    private val contacts = HashMap<FailureDomainId, DaemonId>()

    /** What the router has to be told of [failureDomains] as [membership] knows them. */
    fun capacityEvents(
        failureDomains: Collection<FailureDomainId>,
        membership: MembershipState,
        now: Instant,
    ): List<RouterEvent> = failureDomains.flatMap { eventsFor(it, membership, now) }

    private fun eventsFor(
        failureDomain: FailureDomainId,
        membership: MembershipState,
        now: Instant,
    ): List<RouterEvent> {
        val activeDaemons = membership.contacts(failureDomain).map { it.identity.daemon }
        val contact = RendezvousHash.choose("contact/$self", activeDaemons, 1).firstOrNull()
        val previousContact = contacts[failureDomain]
        val lossEvents =
            if (previousContact != null &&
                previousContact != contact
            ) {
                listOf(RouterEvent.RemoteDaemonLost(previousContact))
            } else {
                emptyList()
            }
        if (contact == null) {
            contacts.remove(failureDomain)
            return lossEvents
        }
        contacts[failureDomain] = contact
        return lossEvents + capacityReports(contact, failureDomain, membership, now)
    }

    private fun capacityReports(
        contact: DaemonId,
        failureDomain: FailureDomainId,
        membership: MembershipState,
        now: Instant,
    ): List<RouterEvent> {
        val report = membership.services(failureDomain, now) ?: return emptyList()
        return report.services.map { (service, aggregate) ->
            RouterEvent.RemoteCapacityReported(
                RemoteCapacity(
                    daemon = contact,
                    failureDomain = failureDomain,
                    service = service,
                    servingGroups = aggregate.servingGroups,
                    freeRequests = aggregate.freeRequests,
                    queueLength = aggregate.queuedRequests,
                    reportedAt = now.minus(report.age),
                ),
            )
        }
    }
}
