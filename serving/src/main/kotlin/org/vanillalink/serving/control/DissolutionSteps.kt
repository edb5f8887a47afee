/*
 * Dissolves groups: ensures that the head has stopped serving before its members are used elsewhere. A head that is
 * neither listed nor answers proves nothing, as it may serve behind a cut; see [MemberReleaseSteps].
 *
 * An order to leave cuts the requests in flight. So a head whose members are sound is first ordered to close, and to
 * leave once it has no more requests.
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
        .map(::withListedState)
        .map(::withHeadGone)
        .forEach(::advance)

    private fun advance(dissolution: Dissolution) {
        val listed = view.entries[dissolution.head.id]
        if (listed != null && hasStopped(dissolution, listed)) {
            cycle.markDissolved(dissolution.key)
        } else if (isFinishingRequests(dissolution, listed)) {
            finishRequests(dissolution, listed)
        } else {
            sendLeave(dissolution, listed)
        }
    }

    private fun withListedState(dissolution: Dissolution): Dissolution {
        val isServing = listedState(dissolution, view.entries[dissolution.head.id]) in SERVING_STATES
        if (!isServing || dissolution.wasListedAsServing) return dissolution
        return dissolution.copy(wasListedAsServing = true).also(cycle::saveDissolution)
    }

    private fun listedState(
        dissolution: Dissolution,
        listed: TargetEntry?,
    ): MemberState? = listed?.membership?.takeIf { it.key == dissolution.key }?.state

    private fun withHeadGone(dissolution: Dissolution): Dissolution {
        val listed = view.entries[dissolution.head.id]
        val isGone = listed == null && (dissolution.isHeadGone || isUnresponsive(dissolution))
        if (isGone == dissolution.isHeadGone) return dissolution
        if (isGone) cycle.log("group-head-gone", "group" to dissolution.key.group, "target" to dissolution.head.id)
        return dissolution.copy(isHeadGone = isGone).also(cycle::saveDissolution)
    }

    /** A head that closes may have requests in flight, so only a silence that no caller waits for counts. */
    private fun isUnresponsive(dissolution: Dissolution): Boolean {
        val settings = cycle.settings
        if (!isFinishingRequests(dissolution, listed = null)) {
            return dissolution.unansweredReports >= settings.unansweredBeforeGone
        }
        val isBeyondPatience = cycle.now - dissolution.unansweredSince >= cycle.patience(view)
        return dissolution.unansweredReports >= settings.unansweredBeforeClosingGone && isBeyondPatience
    }

    private fun isFinishingRequests(
        dissolution: Dissolution,
        listed: TargetEntry?,
    ): Boolean {
        val isOverdue = cycle.now - dissolution.startedAt >= cycle.settings.gracefulCloseMilliseconds
        return dissolution.isGraceful && !isOverdue && !hasClosed(dissolution, listed)
    }

    private fun hasClosed(
        dissolution: Dissolution,
        listed: TargetEntry?,
    ): Boolean = dissolution.hasClosed ||
        (dissolution.wasListedAsServing && listedState(dissolution, listed) == MemberState.READY)

    /** Orders the head to close until it answers, and polls it where its entry may not show that it has closed. */
    private fun finishRequests(
        dissolution: Dissolution,
        listed: TargetEntry?,
    ) {
        val closeAnsweredAt = dissolution.closeAnsweredAt
        if (closeAnsweredAt == null) {
            resendClose(dissolution, listed)
        } else if (cycle.now - maxOf(dissolution.lastPolledAt, closeAnsweredAt) >= pollInterval(dissolution, listed)) {
            pollHead(dissolution)
            cycle.saveDissolution(dissolution.copy(lastPolledAt = cycle.now))
        }
    }

    private fun resendClose(
        dissolution: Dissolution,
        listed: TargetEntry?,
    ) {
        if (cycle.now - dissolution.lastSentAt < cycle.settings.resendMilliseconds) return
        cycle.send(listed ?: dissolution.head, GroupOrder.Close(dissolution.key))
        if (dissolution.lastSentAt > 0) pollHead(dissolution)
        cycle.saveDissolution(dissolution.copy(lastSentAt = cycle.now))
    }

    private fun pollInterval(
        dissolution: Dissolution,
        listed: TargetEntry?,
    ): Long {
        val wasPolled = dissolution.lastPolledAt > 0
        val isEntryReliable = listed != null && dissolution.unansweredReports == 0 && wasPolled
        return if (isEntryReliable) cycle.settings.listingLagMilliseconds else cycle.settings.failedRetryMilliseconds
    }

    /** A closed head is ordered to leave, too: a delayed order to open would reopen the group. */
    private fun sendLeave(
        dissolution: Dissolution,
        listed: TargetEntry?,
    ) {
        val isClosed = dissolution.isGraceful && hasClosed(dissolution, listed)
        val interval =
            when {
                dissolution.isHeadGone -> cycle.settings.listingLagMilliseconds
                isClosed -> cycle.settings.pollIntervalMilliseconds
                else -> cycle.settings.resendMilliseconds
            }
        if (cycle.now - dissolution.lastSentAt < interval) return
        cycle.send(listed ?: dissolution.head, GroupOrder.Leave(dissolution.key))
        pollHead(dissolution)
        cycle.saveDissolution(dissolution.copy(lastSentAt = cycle.now))
    }

    private fun pollHead(dissolution: Dissolution) {
        cycle.requestReport(dissolution.head)
        cycle.probeOtherTarget(view, setOf(dissolution.head.id))
    }

    /** A broken group that may be opened again by a delayed order is dissolved by its head's own report only. */
    private fun hasStopped(
        dissolution: Dissolution,
        listed: TargetEntry,
    ): Boolean = hasMovedOn(dissolution, listed) ||
        (listedState(dissolution, listed) == MemberState.BROKEN && !cycle.canReopen(dissolution.key))

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

    private companion object {
        val SERVING_STATES = setOf(MemberState.OPEN, MemberState.CLOSING)
    }
}
