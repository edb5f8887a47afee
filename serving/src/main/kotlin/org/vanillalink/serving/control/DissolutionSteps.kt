/*
 * Dissolves groups: ensures that the head has stopped serving before its members are used elsewhere.
 */
package org.vanillalink.serving.control

import org.vanillalink.serving.targets.MemberState
import org.vanillalink.serving.targets.TargetEntry

internal class DissolutionSteps(
    private val cycle: GroupControlCycle,
    private val view: DomainView,
) {
    fun advance() = cycle.state.dissolutions.values
        .toList()
        .forEach(::advance)

    private fun advance(dissolution: Dissolution) {
        val listed = view.entries[dissolution.head.id]
        val hasEnded = listed == null && dissolution.unansweredReports >= cycle.settings.unansweredBeforeGone
        if (hasEnded || (listed != null && hasStopped(dissolution, listed))) {
            cycle.markDissolved(dissolution.key)
            return
        }
        val isClosed = dissolution.isGraceful && listed?.membership?.state == MemberState.READY
        val interval = if (isClosed) cycle.settings.pollIntervalMilliseconds else cycle.settings.resendMilliseconds
        if (cycle.now - dissolution.lastSentAt < interval) return
        val order = nextOrder(dissolution, listed)
        cycle.send(listed ?: dissolution.head, order)
        if (order is GroupOrder.Leave) {
            cycle.requestReport(dissolution.head)
            cycle.probeOtherTarget(view, setOf(dissolution.head.id))
        }
        cycle.state =
            cycle.state.copy(
                dissolutions = cycle.state.dissolutions + (dissolution.key to dissolution.copy(lastSentAt = cycle.now)),
            )
    }

    /** A broken group that may be opened again by a delayed order is dissolved by its head's own report only. */
    private fun hasStopped(
        dissolution: Dissolution,
        listed: TargetEntry,
    ): Boolean = hasMovedOn(dissolution, listed) ||
        (isBroken(dissolution, listed) && !cycle.canReopen(dissolution.key))

    private fun hasMovedOn(
        dissolution: Dissolution,
        listed: TargetEntry,
    ): Boolean {
        if (listed.instance != dissolution.head.instance) return true
        // An entry without a later group may be older than this group; only a higher epoch shows that the head moved
        // on.
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

    /** A closed head is ordered to leave, too: a delayed order to open would reopen the group. */
    private fun nextOrder(
        dissolution: Dissolution,
        listed: TargetEntry?,
    ): GroupOrder {
        val isOverdue = cycle.now - dissolution.startedAt >= cycle.settings.gracefulCloseMilliseconds
        val isClosed = listed?.membership?.state == MemberState.READY
        val isFinishingRequests = dissolution.isGraceful && !isOverdue && !isClosed
        return if (isFinishingRequests) GroupOrder.Close(dissolution.key) else GroupOrder.Leave(dissolution.key)
    }
}
