/*
 * Registry entry of a target: its address, the service and model, and its group.
 */
package org.vanillalink.serving.targets

import org.vanillalink.model.Endpoint
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.HostId
import org.vanillalink.model.ServiceName

/** State of a member of a serving group. */
enum class MemberState { JOINING, READY, OPEN, CLOSING, BROKEN }

/** A target's membership in a serving group; the member of [rank] 0 is the head and takes the group's requests. */
data class GroupMembership(
    val group: String,
    val epoch: Long,
    val rank: Int,
    val state: MemberState,
) {
    val key: GroupKey get() = GroupKey(group, epoch)
}

/** A target as listed by the registry. */
data class TargetEntry(
    val id: HostId,
    val service: ServiceName,
    val endpoint: Endpoint,
    val failureDomain: FailureDomainId,
    /** Hosts of the same fabric domain are connected by a fast network; null for plain services. */
    val fabricDomain: String?,
    val isLeaving: Boolean,
    /** Remaining time during which the target is cold. */
    val coldMilliseconds: Long,
    /** When this instance of the target started, in Unix milliseconds; distinguishes instances with the same id. */
    val bornAt: Long?,
    /** The model in memory, or null if none is loaded. */
    val model: String?,
    /** Models that the host can load without the weight store. */
    val staged: Set<String>,
    val membership: GroupMembership?,
    val slots: Int,
) {
    /** Distinguishes this instance of the target from others, even if the id is reused. */
    val instance: TargetInstance get() = TargetInstance(id, bornAt)
}

/** One process instance of a target. */
data class TargetInstance(
    val id: HostId,
    val bornAt: Long?,
) {
    /** Whether [other], which has the same id, is this instance; an unknown start time doesn't prove that it isn't. */
    fun isSameAs(other: TargetInstance): Boolean = bornAt == other.bornAt || bornAt == null || other.bornAt == null
}
