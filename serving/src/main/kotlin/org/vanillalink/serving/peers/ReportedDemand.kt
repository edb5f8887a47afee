/*
 * The demand of all daemons, as far as their messages show it. Daemons of the own failure domain report their own
 * demand; for another one, its representative reports the total, of which each daemon there is taken to have an equal
 * part.
 */
package org.vanillalink.serving.peers

import org.vanillalink.model.DaemonId
import org.vanillalink.model.FailureDomainId
import org.vanillalink.serving.balancing.DaemonDemand

/**
 * The demand as of [now], which is in milliseconds on the steady clock; [ownDemand] is that of this daemon's callers. A
 * peer that can't be heard may still send requests, so its last message counts for a while.
 */
class ReportedDemand(
    override val own: DaemonId,
    private val failureDomain: FailureDomainId,
    private val ownDemand: Map<String, Double>,
    private val peers: PeerDirectory,
    private val now: Long,
) : DaemonDemand {
    private val messages by lazy(LazyThreadSafetyMode.PUBLICATION) { peers.sharingMessages(now) }
    private val demands = HashMap<String, Map<DaemonId, Double>>()

    override val daemons: Set<DaemonId> by lazy(LazyThreadSafetyMode.PUBLICATION) {
        messages.mapTo(hashSetOf(own)) { it.daemon }
    }

    /** Confined to one thread. */
    override fun demandFor(capacity: String): Map<DaemonId, Double> = demands.getOrPut(capacity) { collect(capacity) }

    private fun collect(capacity: String): Map<DaemonId, Double> {
        val result = hashMapOf(own to (ownDemand[capacity] ?: 0.0))
        messages.groupBy { it.failureDomain }.forEach { (domain, domainMessages) ->
            // Only one daemon reports the total; after a change of the representative two may be known to have done so.
            val average = domainMessages.maxOf { it.demand[capacity] ?: 0.0 } / domainMessages.size
            domainMessages.forEach { message ->
                result[message.daemon] = if (domain == failureDomain) message.demand[capacity] ?: 0.0 else average
            }
        }
        return result
    }
}
