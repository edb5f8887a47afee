/*
 * Advances formations: sends orders to join, polls whether members are ready, and sends the order to open.
 */
package org.vanillalink.serving.control

import org.vanillalink.serving.targets.MemberState
import org.vanillalink.serving.targets.TargetEntry

internal class FormationSteps(
    private val cycle: GroupControlCycle,
    private val view: DomainView,
) {
    fun advance() = cycle.state.formations.values
        .toList()
        .forEach(::advance)

    private fun advance(formation: Formation) {
        when (formation.phase) {
            FormationPhase.JOINING -> join(formation)
            FormationPhase.OPENING -> open(formation)
            FormationPhase.OPENED -> confirm(formation)
        }
    }

    private fun join(formation: Formation) {
        val lost = formation.members.firstOrNull { isLost(it) }
        if (lost != null || cycle.now > formation.abandonAt) {
            val missing = formation.members.filter { it.id !in formation.ready }.joinToString(",") { it.id.value }
            val reason = if (lost != null) "lost-${lost.id}" else "not-ready-$missing"
            cycle.log("formation-abandoned", "group" to formation.key.group, "reason" to reason)
            cycle.removeFormation(formation)
            return
        }
        val updated = formation.copy(ready = formation.ready + membersListedAs(formation, MemberState.READY))
        if (updated.ready.size == updated.members.size) {
            cycle.send(updated.head, GroupOrder.Open(updated.key))
            val sentAt = mapOf(updated.head.id to cycle.now)
            cycle.saveFormation(
                updated.copy(
                    phase = FormationPhase.OPENING,
                    acceptedBy = emptySet(),
                    lastSentAt = sentAt,
                    phaseStartedAt = cycle.now,
                ),
            )
            return
        }
        var next = updated
        updated.members.forEach { member -> next = advanceMember(next, member) }
        cycle.saveFormation(next)
    }

    private fun advanceMember(
        formation: Formation,
        member: TargetEntry,
    ): Formation {
        if (member.id in formation.ready) return formation
        val sentAt = formation.lastSentAt[member.id]
        val isResendDue = sentAt == null || cycle.now - sentAt >= cycle.settings.resendMilliseconds
        if (member.id !in formation.acceptedBy && isResendDue) {
            cycle.send(member, GroupOrder.Join(formation.key, formation.model, formation.members.map { it.id }))
            return formation.copy(lastSentAt = formation.lastSentAt + (member.id to cycle.now))
        }
        val requestedAt = formation.lastRequestedAt[member.id] ?: 0
        val isDue = cycle.now >= formation.expectedReadyAt && cycle.now - requestedAt >= pollInterval(formation)
        if (!isDue || member.id !in formation.acceptedBy) return formation
        cycle.requestReport(member)
        return formation.copy(lastRequestedAt = formation.lastRequestedAt + (member.id to cycle.now))
    }

    /**
     * The longer a formation is overdue, the less often its members are polled: the registry shows their state as well.
     */
    private fun pollInterval(formation: Formation): Long {
        val overdueMilliseconds = cycle.now - formation.expectedReadyAt
        return maxOf(cycle.settings.pollIntervalMilliseconds, overdueMilliseconds / 2)
    }

    private fun isLost(member: TargetEntry): Boolean {
        val listed = view.entries[member.id] ?: return true
        return listed.instance != member.instance || listed.isLeaving || member.instance in cycle.state.failed
    }

    /** Whether [member] is lost only since it has announced that it leaves; until then it serves. */
    private fun isLeaving(member: TargetEntry): Boolean {
        val listed = view.entries[member.id] ?: return false
        return listed.isLeaving && listed.instance == member.instance && member.instance !in cycle.state.failed
    }

    private fun hasEnded(member: TargetEntry): Boolean {
        val listed = view.entries[member.id]
        val isReplaced = listed != null && listed.instance != member.instance
        return isReplaced || cycle.state.failed[member.instance]?.hasEnded == true
    }

    private fun membersListedAs(
        formation: Formation,
        state: MemberState,
    ) = formation.members
        .mapNotNull { view.entries[it.id] }
        .filter { entry ->
            val membership = entry.membership
            membership != null && membership.state == state &&
                membership.key == formation.key
        }.map { it.id }

    private fun open(formation: Formation) {
        if (formation.members.any(::isLost) || cycle.now - formation.phaseStartedAt > openingTimeout()) {
            cycle.abandon(formation, "open-failed")
            return
        }
        if (membersListedAs(formation, MemberState.OPEN).isNotEmpty()) {
            ReportAnswers(cycle).markOpened(formation)
            return
        }
        val head = formation.head
        val sentAt = formation.lastSentAt[head.id] ?: 0
        if (head.id !in formation.acceptedBy) {
            if (cycle.now - sentAt < cycle.settings.resendMilliseconds) return
            cycle.send(head, GroupOrder.Open(formation.key))
            cycle.saveFormation(formation.copy(lastSentAt = mapOf(head.id to cycle.now)))
            return
        }
        val requestedAt = formation.lastRequestedAt[head.id] ?: 0
        val isDue = cycle.now - formation.phaseStartedAt >= view.engine.openMilliseconds
        if (!isDue || cycle.now - requestedAt < cycle.settings.pollIntervalMilliseconds) return
        cycle.requestReport(head)
        cycle.saveFormation(formation.copy(lastRequestedAt = mapOf(head.id to cycle.now)))
    }

    private fun openingTimeout(): Long = view.engine.openMilliseconds + cycle.settings.formationGraceMilliseconds

    /**
     * An opened group counts as open until the registry lists it, however long that takes: the registry may be
     * unreachable, or its entry of the head may be outdated. Meanwhile the head itself is polled.
     */
    private fun confirm(formation: Formation) {
        val isListed = membersListedAs(formation, MemberState.OPEN).isNotEmpty()
        val lost = formation.members.filter(::isLost)
        val silent = lost.filter { it.instance in cycle.state.failed }
        if (lost.isNotEmpty() && lost.size == silent.size) {
            val check = MemberLossCheck(cycle, view)
            check.dissolveIfLost(formation.key, formation.head, formation.members, formation.members.size)
            if (formation.key in cycle.state.dissolutions) cycle.removeFormation(formation)
        } else if (lost.isNotEmpty()) {
            val reason = if (lost.all(::isLeaving)) "member-leaving" else "member-lost"
            cycle.abandon(formation, reason, isGraceful = lost.none(::hasEnded))
        } else if (isListed && membersListedAs(formation, MemberState.READY).size == formation.members.size - 1) {
            cycle.removeFormation(formation)
        } else if (cycle.now - formation.phaseStartedAt > cycle.settings.listingLagMilliseconds) {
            requestHeadReport(formation)
        }
    }

    private fun requestHeadReport(formation: Formation) {
        val head = formation.head
        val requestedAt = formation.lastRequestedAt[head.id] ?: 0
        if (cycle.now - requestedAt < cycle.settings.failedRetryMilliseconds) return
        cycle.requestReport(head)
        cycle.probeOtherTarget(view, setOf(head.id))
        cycle.saveFormation(formation.copy(lastRequestedAt = mapOf(head.id to cycle.now)))
    }
}
