/*
 * One evaluation cycle of the group controller: the state that an event changes, and the decisions taken so far.
 */
package org.vanillalink.serving.control

import org.vanillalink.model.HostId
import org.vanillalink.serving.targets.GroupKey
import org.vanillalink.serving.targets.MemberState
import org.vanillalink.serving.targets.TargetEntry

internal class GroupControlCycle(
    var state: GroupControlState,
    val settings: GroupControlSettings,
    val now: Long,
) {
    val decisions = mutableListOf<GroupDecision>()

    fun send(
        target: TargetEntry,
        order: GroupOrder,
    ) {
        decisions += GroupDecision.Send(target, order)
    }

    fun requestReport(target: TargetEntry) {
        state = state.copy(requestedAt = state.requestedAt + (target.id to now))
        decisions += GroupDecision.RequestReport(target)
    }

    fun log(
        event: String,
        vararg fields: Pair<String, Any?>,
    ) {
        decisions += GroupDecision.LogEvent(event, fields.toMap())
    }

    fun allocateEpoch(): Long {
        val epoch = state.nextEpoch
        state = state.copy(nextEpoch = epoch + 1)
        return epoch
    }

    /** The members of [key], as of the last tick. */
    fun members(key: GroupKey): List<TargetEntry> = state.formations[key]?.members ?: state.rosters[key]
        ?.members
        ?.values
        ?.toList()
        .orEmpty()

    fun dissolve(
        key: GroupKey,
        head: TargetEntry,
        reason: String,
        isGraceful: Boolean,
    ) {
        if (key in state.dissolutions || key in state.dissolvedAt) return
        log("group-dissolving", "group" to key.group, "epoch" to key.epoch, "reason" to reason, "gentle" to isGraceful)
        val model = state.formations[key]?.model ?: head.model.takeIf { head.membership?.key == key }
        val members = members(key).map { it.id }.toSet()
        saveDissolution(Dissolution(key, head, members, reason, now, isGraceful, model = model))
    }

    /**
     * Called when the head of [key] has reported that it is in no group, or in this one, broken. If orders of the group
     * may still take effect with a delay, the head is first ordered to join a standby group, whose higher epoch makes
     * it refuse them; otherwise it could open the group again. That order takes the head out of any group that it is
     * in, so neither an entry nor the answer to an earlier order is enough: both may be older than its present group.
     */
    fun completeLeave(key: GroupKey) {
        val dissolution = state.dissolutions[key]
        if (dissolution == null || !canReopen(key) || dissolution.model == null) {
            markDissolved(key)
            return
        }
        if (dissolution.fencingGroup != null && now - dissolution.fenceSentAt < settings.resendMilliseconds) return
        val head = dissolution.head
        val epoch = allocateEpoch()
        val fencingGroup = StandbyGroups.key(head.failureDomain, epoch)
        send(head, GroupOrder.Join(fencingGroup, dissolution.model, listOf(head.id)))
        saveDissolution(dissolution.copy(fencingGroup = fencingGroup, fenceSentAt = now))
    }

    /** Whether orders of [key] may still take effect, so that its head could open it again. */
    fun canReopen(key: GroupKey): Boolean =
        key in state.unansweredOrders || (state.hasPredecessor && key.epoch < state.firstEpoch)

    /** Marks [key] as unable to serve again; its members may be used elsewhere. */
    fun markDissolved(key: GroupKey) {
        val elapsed = state.dissolutions[key]?.let { now - it.startedAt }
        log("group-dissolved", "group" to key.group, "epoch" to key.epoch, "afterMs" to elapsed)
        state = state.copy(dissolutions = state.dissolutions - key, dissolvedAt = state.dissolvedAt + (key to now))
    }

    /** Targets of groups that are being formed or dissolved, whatever the registry lists. */
    fun targetsInUse(): Set<HostId> {
        val forming =
            state.formations.values
                .flatMap { it.members }
                .map { it.id }
        val dissolving =
            state.dissolutions.values.flatMap { group ->
                group.members.filterNot { isFreed(it, group.key) }
            }
        return (forming + dissolving).toSet()
    }

    fun saveFormation(formation: Formation) {
        state = state.copy(formations = state.formations + (formation.key to formation))
    }

    /** Abandons a formation that may have opened, and dissolves its group. */
    fun abandon(
        formation: Formation,
        reason: String,
        isGraceful: Boolean = false,
    ) {
        dissolve(formation.key, formation.head, reason, isGraceful)
        removeFormation(formation)
    }

    fun saveDissolution(dissolution: Dissolution) {
        state = state.copy(dissolutions = state.dissolutions + (dissolution.key to dissolution))
    }

    fun saveRelease(
        member: GroupMember,
        release: MemberRelease,
    ) {
        state = state.copy(releases = state.releases + (member to release))
    }

    fun removeFormation(formation: Formation) {
        state = state.copy(formations = state.formations - formation.key)
    }

    /** Whether an earlier controller may have ordered [head] to open the group [key]. */
    fun canOpen(
        key: GroupKey,
        head: TargetEntry,
    ): Boolean {
        if (key.epoch >= state.firstEpoch || StandbyGroups.isStandby(key)) return false
        return head.membership?.state == MemberState.READY || head.membership?.state == MemberState.JOINING
    }

    /** How long callers wait for the next event of a stream, but no longer than a head waits for its members. */
    fun patience(view: DomainView): Long = minOf(view.callerPatienceMilliseconds, settings.silenceMilliseconds)

    /**
     * Whether the process of [failed] has ended, or has been silent for [milliseconds] and still is. While this daemon
     * or the path to the target is cut off there are no missing answers, and the time proves nothing.
     */
    fun isLost(
        failed: FailedTarget,
        milliseconds: Long,
    ): Boolean {
        val isStillSilent = now - failed.lastMissedAt < settings.failedRetryMilliseconds
        return failed.hasEnded || (isStillSilent && now - failed.since >= milliseconds)
    }

    /**
     * Whether [target] may be used as its entry shows. Entries reach the registry with a delay, and an earlier
     * controller may have used the target meanwhile; so a report is requested from targets that are in no group of this
     * term.
     */
    fun isConfirmedFree(target: TargetEntry): Boolean {
        val key = target.membership?.key
        val isOfThisTerm = key != null && key.epoch >= state.firstEpoch
        val mayHaveReturned = key != null && mayHaveReturned(target.id, key)
        val mustBeAsked = mayHaveReturned || (state.hasPredecessor && !isOfThisTerm)
        if (!mustBeAsked) return true
        val confirmation = state.confirmations[target.id]?.takeIf { it.instance == target.instance && it.key == key }
        val isCurrent = confirmation != null && now - confirmation.updatedAt < settings.confirmationMilliseconds
        if (isCurrent) return confirmation.isConfirmed == true
        state =
            state.copy(
                confirmations =
                    state.confirmations +
                        (target.id to FreeConfirmation(target.instance, key, isConfirmed = null, now)),
            )
        requestReport(target)
        return false
    }

    /** Whether [target] recently failed to confirm, by its report or by giving none, that it is free. */
    fun hasFailedConfirmation(target: TargetEntry): Boolean {
        val confirmation = state.confirmations[target.id]?.takeIf { it.instance == target.instance } ?: return false
        return confirmation.isConfirmed == false && now - confirmation.updatedAt < settings.confirmationMilliseconds
    }

    /** Requests a report from another target, so that a broken network path isn't mistaken for a failed target. */
    fun probeOtherTarget(
        view: DomainView,
        excluded: Set<HostId>,
    ) {
        val candidates = view.entries.values.filter { it.id !in excluded && it.instance !in state.failed }
        candidates.minWithOrNull(compareBy({ state.requestedAt[it.id] ?: 0L }, { it.id }))?.let(::requestReport)
    }

    /** Updates the state from [view], and drops outdated parts of it. */
    fun refresh(view: DomainView) {
        val retainedSince = now - settings.retentionMilliseconds
        val rosters = Rosters.update(state.rosters, view, now, retainedSince)
        val instances = (view.entries.values + rosters.values.flatMap { it.members.values }).map { it.instance }.toSet()
        state =
            state.copy(
                rosters = rosters,
                dissolvedAt = state.dissolvedAt.filter { (key, at) -> at > retainedSince || key in rosters },
                failed = state.failed.filterKeys { it in instances },
                unansweredReports = state.unansweredReports.filterKeys { it in instances },
                unlistedAliveSince = state.unlistedAliveSince.filterKeys { it in instances && it.id !in view.entries },
                standby = state.standby.filter { (id, standby) -> id in view.entries && standby.expiresAt > now },
                listedTargets = view.entries.keys,
                newTargetAt = if (state.listedTargets.containsAll(view.entries.keys)) state.newTargetAt else now,
                firstListedAt = view.entries.values.associate { it.fabricDomain to now } + state.firstListedAt,
                requestedAt = state.requestedAt.filterValues { it > retainedSince },
                unansweredOrders = state.unansweredOrders.filterValues { it > retainedSince },
                confirmations = state.confirmations.filterValues { it.updatedAt > retainedSince },
                headReports = state.headReports.filterValues { it.at > retainedSince },
                unconfirmedRefusals = state.unconfirmedRefusals.filterValues { it.at > retainedSince },
                dissolutions = state.dissolutions.filterNot { (key, group) -> group.isHeadGone && key !in rosters },
                releases =
                    state.releases.filter { (member, release) ->
                        release.instance in instances && (member.key in rosters || member.key in state.dissolutions)
                    },
                staging = state.staging.filter { (id, staging) -> isInProgress(view.entries[id], staging) },
            )
    }

    private fun isInProgress(
        entry: TargetEntry?,
        staging: Staging,
    ): Boolean = entry != null && staging.model !in entry.staged && staging.expiresAt > now
}
