/*
 * Which members have left a group whose head can't be asked, and may be used elsewhere.
 */
package org.vanillalink.serving.control

import org.vanillalink.model.HostId
import org.vanillalink.serving.targets.GroupKey

/** Whether [target] itself has confirmed that it isn't in the group [key]. */
internal fun GroupControlCycle.hasLeft(
    target: HostId,
    key: GroupKey,
): Boolean = state.releases[GroupMember(target, key)]?.leftAt != null

/**
 * Whether [target] has left the group [key], and so have its other members that are listed and answer: they are
 * used together, so that they form a group again before one of them loads another model.
 */
internal fun GroupControlCycle.isFreed(
    target: HostId,
    key: GroupKey,
): Boolean = hasLeft(target, key) && areReleased(key)

/** Whether all members of [key] have left it, except its head and those that aren't listed or don't answer. */
internal fun GroupControlCycle.areReleased(key: GroupKey): Boolean {
    val dissolution = state.dissolutions[key]
    val members =
        dissolution?.let { it.members - it.head.id } ?: state.rosters[key]
            ?.members
            ?.keys
            .orEmpty()
    val silent =
        state.failed.keys
            .map { it.id }
            .toSet()
    return members.none { it in state.listedTargets && it !in silent && !hasLeft(it, key) }
}

/**
 * A report may be some hundred milliseconds old, so one that follows the answer to an order to leave proves
 * nothing.
 */
internal fun GroupControlCycle.mayHaveReturned(
    target: HostId,
    key: GroupKey,
): Boolean =
    state.releases[GroupMember(target, key)]?.leftAt?.let { now - it >= settings.failedRetryMilliseconds } == true

/** Whether nothing is left of [group] but its head, which can't be asked. */
internal fun GroupControlCycle.isReleased(group: Dissolution): Boolean = group.isHeadGone && areReleased(group.key)
