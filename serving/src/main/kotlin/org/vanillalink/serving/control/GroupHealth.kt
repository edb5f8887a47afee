/*
 * Detects groups that can't continue to serve, and starts to dissolve them.
 *
 * An entry that is missing from the registry is a reason to query the target, not a proof of failure: the target may
 * have ended, be leaving, or only be disconnected from the registry while it continues to serve.
 */
package org.vanillalink.serving.control

import org.vanillalink.serving.targets.GroupKey
import org.vanillalink.serving.targets.MemberState
import org.vanillalink.serving.targets.TargetEntry

internal class GroupHealth(
    private val cycle: GroupControlCycle,
    private val view: DomainView,
) {
    fun check() {
        cycle.state.rosters.forEach { (key, roster) -> check(key, roster) }
        retryFailed()
    }

    private fun check(
        key: GroupKey,
        roster: Roster,
    ) {
        if (key in cycle.state.dissolutions || key in cycle.state.dissolvedAt || isForming(key)) return
        val head = roster.head ?: return
        if (head.membership?.state !in SERVING_STATES) {
            dissolveUnopened(key, head)
            return
        }
        if (cycle.state.releases.values
                .any { it.key == key }
        ) {
            cycle.dissolve(key, head, "member-released", isGraceful = false)
            return
        }
        val reason = findDefect(key, roster, head)
        if (reason ==
            null
        ) {
            probeUnlisted(roster)
        } else {
            cycle.dissolve(key, head, reason, isGraceful = reason != MEMBER_SILENT)
        }
    }

    private fun isForming(key: GroupKey): Boolean {
        val phase = cycle.state.formations[key]?.phase
        return phase == FormationPhase.JOINING || phase == FormationPhase.OPENING
    }

    /**
     * An earlier controller's order to open may take effect late, so its unopened groups are dissolved before reuse.
     */
    private fun dissolveUnopened(
        key: GroupKey,
        head: TargetEntry,
    ) {
        if (cycle.canOpen(key, head)) cycle.dissolve(key, head, "formed-by-an-earlier-controller", isGraceful = false)
    }

    private fun findDefect(
        key: GroupKey,
        roster: Roster,
        head: TargetEntry,
    ): String? {
        val members = roster.members.values
        val size = view.engine.groupSize(head.model) ?: return "model-unknown"
        if (members.any { it.instance in cycle.state.failed }) {
            return if (isLost(roster, head, size)) MEMBER_SILENT else null
        }
        val isNew = cycle.now - roster.firstSeenAt < cycle.settings.listingLagMilliseconds
        val isIncomplete = members.size < size && !isNew && key !in cycle.state.formations
        if (isIncomplete) return "member-lost"
        return if (members.any { view.entries[it.id]?.isLeaving == true }) "member-leaving" else null
    }

    /**
     * Whether a group with failed members is given up. A sound target may be silent for a second or so, and to dissolve
     * its group cuts the requests there. So as long as that gains no group in its place, the group is kept, for as long
     * as a head waits for its members.
     */
    private fun isLost(
        roster: Roster,
        head: TargetEntry,
        size: Int,
    ): Boolean {
        val failed = roster.members.values.mapNotNull { cycle.state.failed[it.instance] }
        val isProven = failed.any { it.hasEnded || cycle.now - it.since >= cycle.settings.silenceMilliseconds }
        return isProven || roster.members.size - failed.size + countSpares(head.fabricDomain) >= size
    }

    private fun countSpares(fabricDomain: String?): Int {
        val used = cycle.targetsInUse()
        return view.entries.values.count { entry ->
            val isUsable = !entry.isLeaving && entry.instance !in cycle.state.failed && entry.id !in used
            isUsable && entry.fabricDomain == fabricDomain && isInNoGroup(entry)
        }
    }

    private fun isInNoGroup(entry: TargetEntry): Boolean {
        val key = entry.membership?.key ?: return true
        return StandbyGroups.isStandby(key) || key in cycle.state.dissolvedAt || cycle.hasLeft(entry.id, key)
    }

    private fun probeUnlisted(roster: Roster) {
        val unlisted = roster.members.values.filter { it.id !in view.entries }
        val dueMembers =
            unlisted.filter {
                cycle.now - (cycle.state.requestedAt[it.id] ?: 0) >= cycle.settings.failedRetryMilliseconds
            }
        if (dueMembers.isEmpty()) return
        dueMembers.forEach(cycle::requestReport)
        cycle.probeOtherTarget(view, dueMembers.map { it.id }.toSet())
    }

    private fun retryFailed() {
        cycle.state.failed.forEach { (instance, failed) ->
            if (cycle.now - failed.lastTriedAt < cycle.settings.failedRetryMilliseconds) return@forEach
            val entry = view.entries[instance.id] ?: return@forEach
            val retried = failed.copy(lastTriedAt = cycle.now)
            cycle.state = cycle.state.copy(failed = cycle.state.failed + (instance to retried))
            cycle.requestReport(entry)
        }
    }

    private companion object {
        const val MEMBER_SILENT = "member-silent"
        val SERVING_STATES = setOf(MemberState.OPEN, MemberState.CLOSING)
    }
}
