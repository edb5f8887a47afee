/*
 * Applies the outcomes of report requests to the state.
 */
package org.vanillalink.serving.control

import org.vanillalink.model.HostId
import org.vanillalink.serving.targets.GroupKey
import org.vanillalink.serving.targets.MemberState
import org.vanillalink.serving.targets.TargetEntry

internal class ReportAnswers(
    private val cycle: GroupControlCycle,
) {
    fun apply(event: GroupEvent.ReportAnswered) {
        if (event.result is ReportResult.Answered) cycle.state = cycle.state.copy(lastAnswerAt = cycle.now)
        recordResult(event)
        recordConfirmation(event)
        if (event.result is ReportResult.Answered) countRefusals(event.target)
    }

    private fun recordResult(event: GroupEvent.ReportAnswered) {
        if (isUnconfirmedRefusal(event)) return
        cycle.state = cycle.state.copy(unconfirmedRefusals = cycle.state.unconfirmedRefusals - event.target)
        cycle.state.dissolutions.values
            .filter { it.head.id == event.target }
            .forEach { updateDissolution(it, event.result) }
        val entry = findEntry(event.target) ?: return
        when (val result = event.result) {
            is ReportResult.Answered -> recordAnswer(entry, result.report)
            is ReportResult.Unresponsive -> recordMissingAnswer(entry, result)
        }
    }

    /**
     * A refused connection takes less time than the report that another target was asked for at the same moment, so it
     * is kept until that report shows that the path works. A second one before that means that the path may be cut.
     */
    private fun isUnconfirmedRefusal(event: GroupEvent.ReportAnswered): Boolean {
        val result = event.result as? ReportResult.Unresponsive ?: return false
        if (!result.isRefused || isPathConfirmed(event.target, toleranceMilliseconds = 0)) return false
        if (event.target in cycle.state.unconfirmedRefusals) return false
        val refusal = UnconfirmedRefusal(result, cycle.now)
        cycle.state =
            cycle.state.copy(unconfirmedRefusals = cycle.state.unconfirmedRefusals + (event.target to refusal))
        return true
    }

    /** Counts the refusals that the report of [target] confirms. */
    private fun countRefusals(target: HostId) = cycle.state.unconfirmedRefusals
        .filter { (id, refusal) -> id != target && cycle.now - refusal.at < cycle.settings.reportRepeatMilliseconds }
        .forEach { (id, refusal) -> recordResult(GroupEvent.ReportAnswered(id, refusal.result)) }

    private fun recordConfirmation(event: GroupEvent.ReportAnswered) {
        val confirmation = cycle.state.confirmations[event.target]?.takeIf { it.isConfirmed == null } ?: return
        val report = (event.result as? ReportResult.Answered)?.report
        val isSameInstance = report != null && (report.bornAt == null || report.bornAt == confirmation.instance.bornAt)
        val updated =
            confirmation.copy(
                isConfirmed =
                    isSameInstance && isFree(event.target, report?.membership?.key, confirmation.key),
                updatedAt = cycle.now,
            )
        cycle.state = cycle.state.copy(confirmations = cycle.state.confirmations + (event.target to updated))
        if (updated.isConfirmed == false) {
            cycle.log(
                "entry-doubted",
                "target" to event.target,
                "listed" to confirmation.key,
                "said" to report?.membership,
            )
        }
    }

    /** Whether a target that reports [reported] as its group may be used; [listed] is the unused group of its entry. */
    private fun isFree(
        target: HostId,
        reported: GroupKey?,
        listed: GroupKey?,
    ): Boolean {
        if (reported == null || StandbyGroups.isStandby(reported) || reported in cycle.state.dissolvedAt) return true
        // One that left a group whose head can't be asked may have joined it again on a delayed order.
        return reported == listed && !cycle.mayHaveReturned(target, reported)
    }

    /** Whether another target answered around the time of the request to [target], so that the network path works. */
    private fun isPathConfirmed(
        target: HostId,
        toleranceMilliseconds: Long,
    ): Boolean {
        val requestedAt = cycle.state.requestedAt[target] ?: return false
        return cycle.state.lastAnswerAt >= requestedAt - toleranceMilliseconds
    }

    /** Only the head's own report, or a proven lack of answers, shows that it has stopped serving. */
    private fun updateDissolution(
        dissolution: Dissolution,
        result: ReportResult,
    ) {
        val isUnresponsive =
            result is ReportResult.Unresponsive && isPathConfirmed(dissolution.head.id, toleranceMilliseconds = 0)
        val missing = if (isUnresponsive) withMissingAnswer(dissolution) else dissolution.copy(unansweredReports = 0)
        val reported = (result as? ReportResult.Answered)?.report?.membership
        val hasLeft = reported == null || reported.key != dissolution.key
        if (result is ReportResult.Answered && (hasLeft || reported?.state == MemberState.BROKEN)) {
            val hasJoinedAnother = reported != null && reported.key != dissolution.key
            if (hasJoinedAnother) cycle.markDissolved(dissolution.key) else cycle.completeLeave(dissolution.key)
            return
        }
        cycle.saveDissolution(if (reported == null) missing else withReportedState(missing, reported.state))
    }

    /** Requests that overlap count once: all of them may have been sent before a cut ended. */
    private fun withMissingAnswer(dissolution: Dissolution): Dissolution {
        if (cycle.now - dissolution.lastUnansweredAt < cycle.settings.reportRepeatMilliseconds) return dissolution
        return dissolution.copy(
            unansweredReports = dissolution.unansweredReports + 1,
            unansweredSince = if (dissolution.unansweredReports == 0) cycle.now else dissolution.unansweredSince,
            lastUnansweredAt = cycle.now,
        )
    }

    /** A report may be older than the answer to the order to close; a delayed order may have opened the group again. */
    private fun withReportedState(
        dissolution: Dissolution,
        state: MemberState,
    ): Dissolution {
        val closeAnsweredAt = dissolution.closeAnsweredAt ?: return dissolution
        val isLater = cycle.now - closeAnsweredAt >= cycle.settings.failedRetryMilliseconds
        return when {
            !isLater -> dissolution
            state == MemberState.READY -> dissolution.copy(hasClosed = true)
            state == MemberState.OPEN -> dissolution.copy(closeAnsweredAt = null)
            else -> dissolution
        }
    }

    private fun findEntry(target: HostId): TargetEntry? {
        val forming =
            cycle.state.formations.values
                .flatMap { it.members }
        val listed =
            cycle.state.rosters.values
                .flatMap { it.members.values }
        return (forming + listed).firstOrNull { it.id == target }
    }

    /** A single lost packet must not cost a group, so an unanswered request is repeated once. */
    private fun recordMissingAnswer(
        entry: TargetEntry,
        result: ReportResult.Unresponsive,
    ) {
        if (!isPathConfirmed(entry.id, cycle.settings.pathEvidenceMilliseconds)) {
            cycle.state = cycle.state.copy(unansweredReports = cycle.state.unansweredReports - entry.instance)
            return
        }
        val previous = cycle.state.unansweredReports[entry.instance]
        val since = previous?.since ?: cycle.state.requestedAt[entry.id] ?: cycle.now
        val missed = MissedReports((previous?.count ?: 0) + 1, since)
        cycle.state =
            cycle.state.copy(unansweredReports = cycle.state.unansweredReports + (entry.instance to missed))
        if (missed.count >= cycle.settings.missedReportsBeforeFailed || entry.instance in cycle.state.failed) {
            markFailed(entry, result.reason, since, hasEnded = result.isRefused)
        } else {
            cycle.requestReport(entry)
        }
    }

    private fun markFailed(
        entry: TargetEntry,
        reason: String,
        since: Long,
        hasEnded: Boolean,
    ) {
        val previous = cycle.state.failed[entry.instance]
        if (previous == null) {
            cycle.log("target-silent", "target" to entry.id, "reason" to reason, "ended" to hasEnded)
        }
        val failed =
            FailedTarget(
                since = previous?.since ?: since,
                lastTriedAt = cycle.now,
                hasEnded = hasEnded || previous?.hasEnded == true,
                lastMissedAt = cycle.state.requestedAt[entry.id] ?: cycle.now,
            )
        cycle.state = cycle.state.copy(failed = cycle.state.failed + (entry.instance to failed))
    }

    private fun recordAnswer(
        entry: TargetEntry,
        report: GroupReport,
    ) {
        if (report.bornAt != null && entry.bornAt != null && report.bornAt != entry.bornAt) {
            markFailed(entry, "restarted", cycle.now, hasEnded = true)
            return
        }
        recordHeadReport(entry, report)
        recordReturn(entry, report)
        cycle.state = cycle.state.copy(unansweredReports = cycle.state.unansweredReports - entry.instance)
        if (entry.instance in cycle.state.failed) {
            val silentMilliseconds =
                cycle.now -
                    cycle.state.failed
                        .getValue(entry.instance)
                        .since
            cycle.log("target-answers-again", "target" to entry.id, "afterMs" to silentMilliseconds)
            cycle.state = cycle.state.copy(failed = cycle.state.failed - entry.instance)
        }
        cycle.state.formations.values
            .filter { formation -> formation.members.any { it.id == entry.id } }
            .forEach { advanceFormation(it, entry, report) }
        dissolveIfMemberMoved(entry, report)
        dissolveUnlistedHead(entry)
    }

    /** Records what the head says of the group that its entry shows, and of the one that it reports. */
    private fun recordHeadReport(
        entry: TargetEntry,
        report: GroupReport,
    ) {
        val reported = report.membership
        val listedKey = entry.membership?.takeIf { it.rank == 0 }?.key
        val reportedKey = reported?.takeIf { it.rank == 0 }?.key
        setOfNotNull(listedKey, reportedKey).forEach { key ->
            val state = reported?.takeIf { it.key == key }?.state
            val headReport = HeadReport(state, report.requestsInProgress, cycle.now)
            cycle.state = cycle.state.copy(headReports = cycle.state.headReports + (key to headReport))
        }
    }

    /** A member that is in a group again that it had left is released again. */
    private fun recordReturn(
        entry: TargetEntry,
        report: GroupReport,
    ) {
        val member = GroupMember(entry.id, report.membership?.key ?: return)
        val release = cycle.state.releases[member] ?: return
        if (cycle.mayHaveReturned(member.target, member.key)) cycle.saveRelease(member, release.copy(leftAt = null))
    }

    /**
     * A head that isn't listed receives no further requests but is alive: it completes those in flight, and then its
     * members are used elsewhere.
     */
    private fun dissolveUnlistedHead(entry: TargetEntry) {
        val membership = entry.membership ?: return
        val serves = membership.state == MemberState.OPEN || membership.state == MemberState.CLOSING
        val isUnlistedHead = entry.id !in cycle.state.listedTargets && membership.rank == 0
        if (!isUnlistedHead || !serves || isRelisting(entry)) return
        cycle.dissolve(membership.key, entry, "head-not-listed", isGraceful = true)
    }

    /** A member that reports another group than the registry lists is lost to the listed group. */
    private fun dissolveIfMemberMoved(
        entry: TargetEntry,
        report: GroupReport,
    ) {
        val listed = entry.membership ?: return
        val key = listed.key
        if (key in cycle.state.formations) return
        val reported = report.membership
        val isBroken = reported?.state == MemberState.BROKEN
        if (reported != null && reported.key == key && !isBroken) return
        val head = cycle.state.rosters[key]?.head ?: return
        if (head.membership?.state == MemberState.OPEN) cycle.dissolve(key, head, "member-strayed", isGraceful = false)
    }

    /** After a partition of the whole failure domain, its entries are listed again one by one. */
    private fun isRelisting(entry: TargetEntry): Boolean {
        val since = cycle.state.unlistedAliveSince[entry.instance] ?: cycle.now
        cycle.state = cycle.state.copy(unlistedAliveSince = cycle.state.unlistedAliveSince + (entry.instance to since))
        val members =
            cycle.state.rosters.values
                .flatMap { it.members.keys }
        val unlisted = members.count { it !in cycle.state.listedTargets }
        val isMassExpiry =
            unlisted >= cycle.settings.massExpiryTargets && unlisted * MASS_EXPIRY_DIVISOR >= members.size
        if (isMassExpiry) cycle.state = cycle.state.copy(massExpiryAt = cycle.now)
        val hasExpiredRecently = cycle.now - cycle.state.massExpiryAt < cycle.settings.relistMilliseconds
        return hasExpiredRecently && cycle.now - since < cycle.settings.relistMilliseconds
    }

    private fun advanceFormation(
        formation: Formation,
        entry: TargetEntry,
        report: GroupReport,
    ) {
        val membership = report.membership
        val isInFormation = membership != null && membership.key == formation.key
        val hasEnded = !isInFormation || membership.state == MemberState.BROKEN
        if (formation.phase == FormationPhase.OPENED && entry.id == formation.head.id && hasEnded) {
            cycle.abandon(formation, "head-left")
            return
        }
        if (membership == null || !isInFormation) return
        when (formation.phase) {
            FormationPhase.JOINING -> {
                if (membership.state == MemberState.READY) {
                    cycle.saveFormation(
                        formation.copy(
                            ready = formation.ready + entry.id,
                            acceptedBy = formation.acceptedBy + entry.id,
                        ),
                    )
                }
            }

            FormationPhase.OPENING -> {
                val opened = entry.id == formation.head.id && membership.state == MemberState.OPEN
                if (opened) markOpened(formation)
            }

            FormationPhase.OPENED -> {
                Unit
            }
        }
    }

    fun markOpened(formation: Formation) {
        cycle.log(
            "group-opened",
            "group" to formation.key.group,
            "epoch" to formation.key.epoch,
            "model" to formation.model,
            "members" to formation.members.joinToString(",") { it.id.value },
            "tookMs" to cycle.now - formation.startedAt,
        )
        cycle.saveFormation(formation.copy(phase = FormationPhase.OPENED, phaseStartedAt = cycle.now))
    }

    private companion object {
        /** If at least one in this many members is unlisted at once, it is not a coincidence of single failures. */
        const val MASS_EXPIRY_DIVISOR = 3
    }
}
