/*
 * Publishes the gossip items of which this daemon is the author.
 */
package org.vanillalink.membership

import org.vanillalink.model.FencingNumber
import java.time.Instant

internal class LocalPublisher {
    /**
     * Publishes this daemon's member item unless the stored one is current. This also replaces an item of an earlier
     * boot that peers sent back.
     */
    fun publishSelf(
        state: MembershipState,
        now: Instant,
    ): MembershipState {
        val member = GossipPayload.Member(state.identity, state.leaving)
        if (state.gossip.entries[member.subject()]?.payload == member) return state
        return publish(state, member, FencingNumber.NONE, now)
    }

    fun publish(
        state: MembershipState,
        payload: GossipPayload,
        fencingNumber: FencingNumber,
        now: Instant,
    ): MembershipState {
        val version = state.gossip.nextVersion(payload.subject(), state.identity.daemon, fencingNumber)
        val gossip = state.gossip.merge(GossipItem(version, 0, payload), receivedFrom = null, now) ?: return state
        return state.copy(gossip = gossip)
    }

    fun publishServices(
        state: MembershipState,
        event: MembershipEvent.ServicesAggregated,
        now: Instant,
    ): MembershipState {
        val payload = GossipPayload.Services(state.identity.failureDomain, event.services)
        return publish(state, payload, event.fencingNumber, now)
    }

    fun publishFencingNumber(
        state: MembershipState,
        event: MembershipEvent.FencingNumberObserved,
        now: Instant,
    ): MembershipState {
        if (event.fencingNumber <= state.highestFencingNumber(event.failureDomain)) return state
        val payload = GossipPayload.Control(event.failureDomain, event.fencingNumber)
        return publish(state, payload, event.fencingNumber, now)
    }
}
