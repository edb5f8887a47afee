/*
 * What targets' own reports change.
 */
package org.vanillalink.serving.control

import org.vanillalink.model.HostId
import org.vanillalink.serving.targets.GroupKey
import org.vanillalink.serving.targets.MemberState
import org.vanillalink.serving.targets.TargetEntry

internal class ReportAnswers(
    private val work: GroupWork,
) {
    fun apply(event: GroupEvent.ReportAnswered) {
        if (event.result is ReportResult.Answered) work.state = work.state.copy(answeredAt = work.now)
        work.state.dissolutions.values
            .filter { it.head.id == event.target }
            .forEach { headAnswered(it, event.result) }
        vouched(event)
        val entry = entry(event.target) ?: return
        when (val result = event.result) {
            is ReportResult.Answered -> answered(entry, result.report)
            is ReportResult.Silent -> unanswered(entry, result.reason)
        }
    }

    private fun vouched(event: GroupEvent.ReportAnswered) {
        val vouch = work.state.vouches[event.target]?.takeIf { it.agrees == null } ?: return
        val report = (event.result as? ReportResult.Answered)?.report
        val isSameInstance = report != null && (report.bornAt == null || report.bornAt == vouch.instance.bornAt)
        val answered = vouch.copy(agrees = isSameInstance && isFree(report?.membership?.key, vouch.key), at = work.now)
        work.state = work.state.copy(vouches = work.state.vouches + (event.target to answered))
        if (answered.agrees == false) {
            work.note("entry-doubted", "target" to event.target, "listed" to vouch.key, "said" to report?.membership)
        }
    }

    /** Whether a target in the group [said] may be used where its entry shows it in [listed], which is over. */
    private fun isFree(
        said: GroupKey?,
        listed: GroupKey?,
    ): Boolean = said == null || said == listed || said in work.state.dissolved || StandbyGroups.isStandby(said)

    /** Whether another target has answered about when [target] was asked, so that its silence is its own. */
    private fun isPathProved(
        target: HostId,
        slack: Long,
    ): Boolean {
        val askedAt = work.state.askedAt[target] ?: return false
        return work.state.answeredAt >= askedAt - slack
    }

    /** Only a head's own word, or its silence, tells that it serves no more. */
    private fun headAnswered(
        dissolution: Dissolution,
        result: ReportResult,
    ) {
        val isProvedSilence = result is ReportResult.Silent && isPathProved(dissolution.head.id, slack = 0)
        val unanswered = if (isProvedSilence) dissolution.unanswered + 1 else 0
        val said = (result as? ReportResult.Answered)?.report?.membership
        val isOther = said == null || said.key != dissolution.key
        if (result is ReportResult.Answered && (isOther || said?.state == MemberState.BROKEN)) {
            val isInAnother = said != null && said.key != dissolution.key
            if (isInAnother) work.dissolved(dissolution.key) else work.left(dissolution.key)
            return
        }
        val counted = dissolution.copy(unanswered = unanswered)
        work.state = work.state.copy(dissolutions = work.state.dissolutions + (dissolution.key to counted))
    }

    private fun entry(target: HostId): TargetEntry? {
        val forming =
            work.state.formations.values
                .flatMap { it.members }
        val listed =
            work.state.rosters.values
                .flatMap { it.members.values }
        return (forming + listed).firstOrNull { it.id == target }
    }

    /** One lost packet must not cost a group, so a question without an answer is asked once more. */
    private fun unanswered(
        entry: TargetEntry,
        reason: String,
    ) {
        if (!isPathProved(entry.id, work.settings.pathProofMilliseconds)) {
            work.state = work.state.copy(unanswered = work.state.unanswered - entry.instance)
            return
        }
        val questions = (work.state.unanswered[entry.instance] ?: 0) + 1
        work.state = work.state.copy(unanswered = work.state.unanswered + (entry.instance to questions))
        if (questions >= work.settings.questionsBeforeSilent || entry.instance in work.state.silent) {
            silent(entry, reason)
        } else {
            work.ask(entry)
        }
    }

    private fun silent(
        entry: TargetEntry,
        reason: String,
    ) {
        if (entry.instance !in work.state.silent) work.note("target-silent", "target" to entry.id, "reason" to reason)
        work.state = work.state.copy(silent = work.state.silent + (entry.instance to work.now))
    }

    private fun answered(
        entry: TargetEntry,
        report: GroupReport,
    ) {
        if (report.bornAt != null && entry.bornAt != null && report.bornAt != entry.bornAt) {
            silent(entry, "restarted")
            return
        }
        work.state = work.state.copy(unanswered = work.state.unanswered - entry.instance)
        if (entry.instance in work.state.silent) {
            work.note("target-answers-again", "target" to entry.id)
            work.state = work.state.copy(silent = work.state.silent - entry.instance)
        }
        work.state.formations.values
            .filter { formation -> formation.members.any { it.id == entry.id } }
            .forEach { progress(it, entry, report) }
        strayed(entry, report)
        unlistedHead(entry)
    }

    /**
     * A head that isn't listed takes nothing new, but lives: it finishes its work, and its members are used elsewhere.
     */
    private fun unlistedHead(entry: TargetEntry) {
        val membership = entry.membership ?: return
        val serves = membership.state == MemberState.OPEN || membership.state == MemberState.CLOSING
        val isUnlistedHead = entry.id !in work.state.known && membership.rank == 0
        if (!isUnlistedHead || !serves || isRelisting(entry)) return
        work.dissolve(membership.key, entry, "head-not-listed", isGentle = true)
    }

    /** A member that says it is in another group than the registry lists is lost to the listed one. */
    private fun strayed(
        entry: TargetEntry,
        report: GroupReport,
    ) {
        val listed = entry.membership ?: return
        val key = listed.key
        if (key in work.state.formations) return
        val said = report.membership
        val isBroken = said?.state == MemberState.BROKEN
        if (said != null && said.key == key && !isBroken) return
        val head = work.state.rosters[key]?.head ?: return
        if (head.membership?.state == MemberState.OPEN) work.dissolve(key, head, "member-strayed", isGentle = false)
    }

    /** After a cut of the whole failure domain its entries come back one by one. */
    private fun isRelisting(entry: TargetEntry): Boolean {
        val since = work.state.unlistedAliveSince[entry.instance] ?: work.now
        work.state = work.state.copy(unlistedAliveSince = work.state.unlistedAliveSince + (entry.instance to since))
        val members =
            work.state.rosters.values
                .flatMap { it.members.keys }
        val unlisted = members.count { it !in work.state.known }
        val isMassLapse = unlisted >= work.settings.massLapse && unlisted * MASS_LAPSE_PART >= members.size
        if (isMassLapse) work.state = work.state.copy(massLapseAt = work.now)
        val lapsedLately = work.now - work.state.massLapseAt < work.settings.relistMilliseconds
        return lapsedLately && work.now - since < work.settings.relistMilliseconds
    }

    private fun progress(
        formation: Formation,
        entry: TargetEntry,
        report: GroupReport,
    ) {
        val membership = report.membership
        val isIn = membership != null && membership.key == formation.key
        val hasEnded = !isIn || membership.state == MemberState.BROKEN
        if (formation.phase == FormationPhase.OPENED && entry.id == formation.head.id && hasEnded) {
            work.abandon(formation, "head-left")
            return
        }
        if (membership == null || !isIn) return
        when (formation.phase) {
            FormationPhase.JOINING -> {
                if (membership.state == MemberState.READY) {
                    work.update(
                        formation.copy(ready = formation.ready + entry.id, joined = formation.joined + entry.id),
                    )
                }
            }

            FormationPhase.OPENING -> {
                val opened = entry.id == formation.head.id && membership.state == MemberState.OPEN
                if (opened) opened(formation)
            }

            FormationPhase.OPENED -> {
                Unit
            }
        }
    }

    fun opened(formation: Formation) {
        work.note(
            "group-opened",
            "group" to formation.key.group,
            "epoch" to formation.key.epoch,
            "model" to formation.model,
            "members" to formation.members.joinToString(",") { it.id.value },
            "tookMs" to work.now - formation.startedAt,
        )
        work.update(formation.copy(phase = FormationPhase.OPENED, phaseSince = work.now))
    }

    private companion object {
        /** One in so many members unlisted at once is no chance of single targets. */
        const val MASS_LAPSE_PART = 3
    }
}
