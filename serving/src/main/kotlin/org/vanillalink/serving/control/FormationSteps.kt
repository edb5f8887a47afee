/*
 * Carries formations forward: orders to join, questions whether members are ready, the order to open.
 */
package org.vanillalink.serving.control

import org.vanillalink.serving.targets.MemberState
import org.vanillalink.serving.targets.TargetEntry

internal class FormationSteps(
    private val work: GroupWork,
    private val view: DomainView,
) {
    fun advance() = work.state.formations.values
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
        if (lost != null || work.now > formation.giveUpAt) {
            val late = formation.members.filter { it.id !in formation.ready }.joinToString(",") { it.id.value }
            val reason = if (lost != null) "lost-${lost.id}" else "not-ready-$late"
            work.note("formation-abandoned", "group" to formation.key.group, "reason" to reason)
            work.drop(formation)
            return
        }
        val seen = formation.copy(ready = formation.ready + listedAs(formation, MemberState.READY))
        if (seen.ready.size == seen.members.size) {
            work.send(seen.head, GroupOrder.Open(seen.key))
            val sentAt = mapOf(seen.head.id to work.now)
            work.update(
                seen.copy(
                    phase = FormationPhase.OPENING,
                    joined = emptySet(),
                    lastSentAt = sentAt,
                    phaseSince = work.now,
                ),
            )
            return
        }
        var next = seen
        seen.members.forEach { member -> next = stepMember(next, member) }
        work.update(next)
    }

    private fun stepMember(
        formation: Formation,
        member: TargetEntry,
    ): Formation {
        if (member.id in formation.ready) return formation
        val sentAt = formation.lastSentAt[member.id]
        val resend = sentAt == null || work.now - sentAt >= work.settings.resendMilliseconds
        if (member.id !in formation.joined && resend) {
            work.send(member, GroupOrder.Join(formation.key, formation.model, formation.members.map { it.id }))
            return formation.copy(lastSentAt = formation.lastSentAt + (member.id to work.now))
        }
        val askedAt = formation.lastAskedAt[member.id] ?: 0
        val due = work.now >= formation.expectedReadyAt && work.now - askedAt >= pollPause(formation)
        if (!due || member.id !in formation.joined) return formation
        work.ask(member)
        return formation.copy(lastAskedAt = formation.lastAskedAt + (member.id to work.now))
    }

    /** The longer a formation is overdue, the less often its members are asked: the registry tells as well. */
    private fun pollPause(formation: Formation): Long {
        val overdue = work.now - formation.expectedReadyAt
        return maxOf(work.settings.pollMilliseconds, overdue / 2)
    }

    private fun isLost(member: TargetEntry): Boolean {
        val listed = view.entries[member.id] ?: return true
        return listed.instance != member.instance || listed.isLeaving || member.instance in work.state.silent
    }

    private fun listedAs(
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
        if (formation.members.any(::isLost) || work.now - formation.phaseSince > openingBound()) {
            work.abandon(formation, "open-failed")
            return
        }
        if (listedAs(formation, MemberState.OPEN).isNotEmpty()) {
            ReportAnswers(work).opened(formation)
            return
        }
        val head = formation.head
        val sentAt = formation.lastSentAt[head.id] ?: 0
        if (head.id !in formation.joined) {
            if (work.now - sentAt < work.settings.resendMilliseconds) return
            work.send(head, GroupOrder.Open(formation.key))
            work.update(formation.copy(lastSentAt = mapOf(head.id to work.now)))
            return
        }
        val askedAt = formation.lastAskedAt[head.id] ?: 0
        val due = work.now - formation.phaseSince >= view.engine.openMilliseconds
        if (!due || work.now - askedAt < work.settings.pollMilliseconds) return
        work.ask(head)
        work.update(formation.copy(lastAskedAt = mapOf(head.id to work.now)))
    }

    private fun openingBound(): Long = view.engine.openMilliseconds + work.settings.formationSlackMilliseconds

    /**
     * An opened group is believed until the registry shows it, however long that takes: the registry may be away, or
     * its entry of the head may be old. Meanwhile the head itself is asked.
     */
    private fun confirm(formation: Formation) {
        val isListed = listedAs(formation, MemberState.OPEN).isNotEmpty()
        if (formation.members.any(::isLost)) {
            work.abandon(formation, "member-lost")
        } else if (isListed && listedAs(formation, MemberState.READY).size == formation.members.size - 1) {
            work.drop(formation)
        } else if (work.now - formation.phaseSince > work.settings.listingLagMilliseconds) {
            askHead(formation)
        }
    }

    private fun askHead(formation: Formation) {
        val head = formation.head
        val askedAt = formation.lastAskedAt[head.id] ?: 0
        if (work.now - askedAt < work.settings.silentRetryMilliseconds) return
        work.ask(head)
        work.askWitness(view, setOf(head.id))
        work.update(formation.copy(lastAskedAt = mapOf(head.id to work.now)))
    }
}
