/*
 * What a target says of itself: where it is, what it serves, and which group it belongs to.
 */
package org.vanillalink.serving.targets

import org.vanillalink.model.Endpoint
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.HostId
import org.vanillalink.model.ServiceName

/** How far a member of a serving group has come. */
enum class MemberState { JOINING, READY, OPEN, CLOSING, BROKEN }

/** A target's place in a serving group; the member of [rank] 0 takes the group's requests. */
data class GroupMembership(
    val group: String,
    val epoch: Long,
    val rank: Int,
    val state: MemberState,
) {
    /** The group and the set of members that this is a place in. */
    val key: GroupKey get() = GroupKey(group, epoch)
}

/** One target as the registry lists it. */
data class TargetEntry(
    val id: HostId,
    val service: ServiceName,
    val endpoint: Endpoint,
    val failureDomain: FailureDomainId,
    /** Hosts with a fast link between them; null for plain services. */
    val fabricDomain: String?,
    val isLeaving: Boolean,
    /** How much longer the target stays cold, in milliseconds. */
    val coldMilliseconds: Long,
    /** When this run of the target began, in Unix milliseconds; another value is another run. */
    val bornAt: Long?,
    /** The model in memory, or null. */
    val model: String?,
    /** Models that the host can load without the weight store. */
    val staged: Set<String>,
    val membership: GroupMembership?,
    val slots: Int,
) {
    /** Tells this run of the target from others, also where the id is used again. */
    val instance: TargetInstance get() = TargetInstance(id, bornAt)
}

/** One run of a target. */
data class TargetInstance(
    val id: HostId,
    val bornAt: Long?,
)
