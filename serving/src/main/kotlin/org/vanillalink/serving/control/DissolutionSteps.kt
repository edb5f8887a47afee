/*
 * Takes groups apart: makes sure that the head serves no more before its members are used elsewhere.
 */
package org.vanillalink.serving.control

import org.vanillalink.serving.targets.GroupKey
import org.vanillalink.serving.targets.MemberState
import org.vanillalink.serving.targets.TargetEntry

internal class DissolutionSteps(
    private val work: GroupWork,
    private val view: DomainView,
) {
    fun advance() = work.state.dissolutions.values
        .toList()
        .forEach(::advance)

    private fun advance(dissolution: Dissolution) {
        val listed = view.entries[dissolution.head.id]
        val isGone = listed == null && dissolution.unanswered >= work.settings.unansweredBeforeGone
        if (isGone || (listed != null && servesNoMore(dissolution, listed))) {
            work.dissolved(dissolution.key)
            return
        }
        if (work.now - dissolution.lastSentAt < work.settings.resendMilliseconds) return
        val order = nextOrder(dissolution)
        work.send(listed ?: dissolution.head, order)
        work.state =
            work.state.copy(
                dissolutions = work.state.dissolutions + (dissolution.key to dissolution.copy(lastSentAt = work.now)),
            )
    }

    private fun servesNoMore(
        dissolution: Dissolution,
        listed: TargetEntry,
    ): Boolean {
        if (listed.run != dissolution.head.run) return true
        val membership = listed.membership ?: return true
        if (GroupKey(membership.group, membership.epoch) != dissolution.key) return true
        if (membership.state == MemberState.BROKEN) return true
        val sent = dissolution.lastSentAt > 0
        return dissolution.isGentle && sent && membership.state == MemberState.READY
    }

    private fun nextOrder(dissolution: Dissolution): GroupOrder {
        val waited = work.now - dissolution.startedAt
        val waitLonger = dissolution.isGentle && waited < work.settings.gentleCloseMilliseconds
        return if (waitLonger) GroupOrder.Close(dissolution.key) else GroupOrder.Leave(dissolution.key)
    }
}
