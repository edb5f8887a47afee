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
import org.vanillalink.serving.targets.TargetInstance

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
        if (cycle.state.releases.keys
                .any { it.key == key }
        ) {
            val hasLost = roster.members.keys.any { cycle.hasLeft(it, key) }
            cycle.dissolve(key, head, "member-released", isGraceful = !hasLost)
            return
        }
        val members = roster.members.values
        if (members.any { it.instance in cycle.state.failed }) {
            val size = view.engine.groupSize(head.model) ?: members.size
            MemberLossCheck(cycle, view).dissolveIfLost(key, head, members, size)
            return
        }
        val reason = findDefect(key, roster, head)
        if (reason == null) probeUnlisted(roster) else cycle.dissolve(key, head, reason, isGraceful = true)
    }

    private fun isForming(key: GroupKey): Boolean {
        val phase = cycle.state.formations[key]?.phase
        return phase == FormationPhase.JOINING || phase == FormationPhase.OPENING
    }

    /**
     * An earlier controller's order to open may take effect late, so its unopened groups are dissolved before reuse.
     * The entry may be older than the opening: only a head that has itself reported that it isn't open has no requests.
     */
    private fun dissolveUnopened(
        key: GroupKey,
        head: TargetEntry,
    ) {
        if (!cycle.canOpen(key, head)) return
        val report = cycle.state.headReports[key]
        val isUnanswered = head.instance in cycle.state.failed
        if (report == null && !isUnanswered) {
            val requestedAt = cycle.state.requestedAt[head.id] ?: 0
            if (cycle.now - requestedAt >= cycle.settings.reportRepeatMilliseconds) cycle.requestReport(head)
        } else {
            val isUnopened = report != null && report.state !in SERVING_STATES
            cycle.dissolve(key, head, "formed-by-an-earlier-controller", isGraceful = !isUnopened)
        }
    }

    private fun findDefect(
        key: GroupKey,
        roster: Roster,
        head: TargetEntry,
    ): String? {
        val members = roster.members.values
        val size = view.engine.groupSize(head.model) ?: return "model-unknown"
        val isNew = cycle.now - roster.firstSeenAt < cycle.settings.listingLagMilliseconds
        val isIncomplete = members.size < size && !isNew && key !in cycle.state.formations
        if (isIncomplete) return "member-lost"
        return if (members.any { view.entries[it.id]?.isLeaving == true }) "member-leaving" else null
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
        val awaited = awaitedMembers()
        val due =
            cycle.state.failed.mapNotNull { (instance, failed) ->
                val settings = cycle.settings
                val member = awaited[instance]
                val interval =
                    if (member ==
                        null
                    ) {
                        settings.failedRetryMilliseconds
                    } else {
                        settings.reportRepeatMilliseconds
                    }
                (view.entries[instance.id] ?: member)?.takeIf { cycle.now - failed.lastTriedAt >= interval }
            }
        due.forEach(::retry)
        if (due.any { it.instance in awaited }) cycle.probeOtherTarget(view, due.map { it.id }.toSet())
    }

    private fun retry(entry: TargetEntry) {
        val retried = cycle.state.failed[entry.instance]?.copy(lastTriedAt = cycle.now)
        if (retried != null) cycle.state = cycle.state.copy(failed = cycle.state.failed + (entry.instance to retried))
        cycle.requestReport(entry)
    }

    /** Members of groups that serve or close: whether to cut requests in flight depends on them. */
    private fun awaitedMembers(): Map<TargetInstance, TargetEntry> = cycle.state.rosters
        .filterKeys { cycle.state.dissolutions[it]?.isGraceful != false && it !in cycle.state.dissolvedAt }
        .values
        .flatMap { it.members.values }
        .associateBy { it.instance }

    private companion object {
        val SERVING_STATES = setOf(MemberState.OPEN, MemberState.CLOSING)
    }
}
