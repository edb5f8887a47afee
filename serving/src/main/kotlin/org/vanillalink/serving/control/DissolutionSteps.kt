/*
 * Takes groups apart: makes sure that the head serves no more before its members are used elsewhere.
 */
package org.vanillalink.serving.control

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
        if (isGone || (listed != null && isElsewhere(dissolution, listed))) {
            work.dissolved(dissolution.key)
            return
        }
        if (listed != null && isBroken(dissolution, listed)) {
            work.left(dissolution.key)
            return
        }
        val isClosed = dissolution.isGentle && listed?.membership?.state == MemberState.READY
        val pause = if (isClosed) work.settings.pollMilliseconds else work.settings.resendMilliseconds
        if (work.now - dissolution.lastSentAt < pause) return
        val order = nextOrder(dissolution, listed)
        work.send(listed ?: dissolution.head, order)
        if (order is GroupOrder.Leave) {
            work.ask(dissolution.head)
            work.askWitness(view, setOf(dissolution.head.id))
        }
        work.state =
            work.state.copy(
                dissolutions = work.state.dissolutions + (dissolution.key to dissolution.copy(lastSentAt = work.now)),
            )
    }

    private fun isElsewhere(
        dissolution: Dissolution,
        listed: TargetEntry,
    ): Boolean {
        if (listed.instance != dissolution.head.instance) return true
        // An older entry may come from before this group: only a later group shows that the head has gone on.
        val epoch = listed.membership?.epoch ?: return false
        return epoch > dissolution.key.epoch
    }

    private fun isBroken(
        dissolution: Dissolution,
        listed: TargetEntry,
    ): Boolean {
        val membership = listed.membership ?: return false
        return membership.key == dissolution.key && membership.state == MemberState.BROKEN
    }

    /** A closed head is told to leave as well: an order to open that comes late would open it again. */
    private fun nextOrder(
        dissolution: Dissolution,
        listed: TargetEntry?,
    ): GroupOrder {
        val isOverdue = work.now - dissolution.startedAt >= work.settings.gentleCloseMilliseconds
        val isClosed = listed?.membership?.state == MemberState.READY
        val waits = dissolution.isGentle && !isOverdue && !isClosed
        return if (waits) GroupOrder.Close(dissolution.key) else GroupOrder.Leave(dissolution.key)
    }
}
