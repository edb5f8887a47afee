/*
 * Decides when a group with members that don't answer is given up.
 *
 * A sound target may be silent for a second or so, and an order to leave cuts the requests in flight at the head. So to
 * suspect a member and to cut are two decisions. A suspected group receives no further requests. It is ordered to leave
 * once a member has certainly ended, or after a silence that no caller waits for. A head without requests in flight is
 * closed earlier, if spares can take the places of the silent members: that harms no caller, and capacity is restored
 * soon.
 */
package org.vanillalink.serving.control

import org.vanillalink.serving.targets.GroupKey
import org.vanillalink.serving.targets.TargetEntry

internal class MemberLossCheck(
    private val cycle: GroupControlCycle,
    private val view: DomainView,
) {
    /** Dissolves the group [key] of [size] if those of [members] that have failed count as lost. */
    fun dissolveIfLost(
        key: GroupKey,
        head: TargetEntry,
        members: Collection<TargetEntry>,
        size: Int,
    ) {
        val failed = members.mapNotNull { cycle.state.failed[it.instance] }
        if (failed.any { cycle.isLost(it, cycle.settings.silenceMilliseconds) }) {
            cycle.dissolve(key, head, MEMBER_SILENT, isGraceful = false)
            return
        }
        val isReplaceable = members.size - failed.size + countSpares(head.fabricDomain) >= size
        if (!isReplaceable) return
        if (failed.any { cycle.isLost(it, cycle.patience(view)) }) {
            cycle.dissolve(key, head, MEMBER_SILENT, isGraceful = false)
        } else if (isIdle(key, head, failed.minOf { it.since })) {
            cycle.dissolve(key, head, MEMBER_SILENT, isGraceful = true)
        }
    }

    /** Whether the head has reported no request since [since]; it is asked until it does. */
    private fun isIdle(
        key: GroupKey,
        head: TargetEntry,
        since: Long,
    ): Boolean {
        val report = cycle.state.headReports[key]?.takeIf { it.at >= since }
        if (report?.requestsInProgress == 0) return true
        val requestedAt = cycle.state.requestedAt[head.id] ?: 0
        if (cycle.now - requestedAt >= cycle.settings.reportRepeatMilliseconds) cycle.requestReport(head)
        return false
    }

    /** Free targets in [fabricDomain] beyond those that take the places of members that other groups have lost. */
    private fun countSpares(fabricDomain: String?): Int {
        val used = cycle.targetsInUse()
        val spares =
            view.entries.values.count { entry ->
                entry.fabricDomain == fabricDomain && isUsable(entry) && entry.id !in used && isInNoGroup(entry)
            }
        val reserved =
            cycle.state.dissolutions.values
                .filter { it.head.fabricDomain == fabricDomain && !cycle.isReleased(it) }
                .sumOf { group -> group.members.count { id -> view.entries[id]?.let(::isUsable) != true } }
        return spares - reserved
    }

    private fun isUsable(entry: TargetEntry): Boolean = !entry.isLeaving && entry.instance !in cycle.state.failed

    private fun isInNoGroup(entry: TargetEntry): Boolean {
        val key = entry.membership?.key ?: return true
        return StandbyGroups.isStandby(key) || key in cycle.state.dissolvedAt || cycle.isFreed(entry.id, key)
    }

    private companion object {
        const val MEMBER_SILENT = "member-silent"
    }
}
