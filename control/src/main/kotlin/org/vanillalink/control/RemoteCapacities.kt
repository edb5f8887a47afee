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
    fun events(
        failureDomains: Collection<FailureDomainId>,
        membership: MembershipState,
        now: Instant,
    ): List<RouterEvent> = failureDomains.flatMap { eventsOf(it, membership, now) }

    private fun eventsOf(
        failureDomain: FailureDomainId,
        membership: MembershipState,
        now: Instant,
    ): List<RouterEvent> {
        val heard = membership.contacts(failureDomain).map { it.identity.daemon }
        val contact = RendezvousHash.choose("contact/$self", heard, 1).firstOrNull()
        val before = contacts[failureDomain]
        val lost =
            if (before != null &&
                before != contact
            ) {
                listOf(RouterEvent.RemoteDaemonLost(before))
            } else {
                emptyList()
            }
        if (contact == null) {
            contacts.remove(failureDomain)
            return lost
        }
        contacts[failureDomain] = contact
        return lost + capacities(contact, failureDomain, membership, now)
    }

    private fun capacities(
        contact: DaemonId,
        failureDomain: FailureDomainId,
        membership: MembershipState,
        now: Instant,
    ): List<RouterEvent> {
        val aged = membership.services(failureDomain, now) ?: return emptyList()
        return aged.services.map { (service, aggregate) ->
            RouterEvent.RemoteCapacityReported(
                RemoteCapacity(
                    daemon = contact,
                    failureDomain = failureDomain,
                    service = service,
                    servingGroups = aggregate.servingGroups,
                    freeRequests = aggregate.freeRequests,
                    queueLength = aggregate.queuedRequests,
                    reportedAt = now.minus(aged.age),
                ),
            )
        }
    }
}
