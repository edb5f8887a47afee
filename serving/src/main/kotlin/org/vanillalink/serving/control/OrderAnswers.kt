/*
 * Applies the outcomes of orders to the state.
 */
package org.vanillalink.serving.control

import org.vanillalink.model.HostId
import org.vanillalink.serving.targets.GroupKey

internal class OrderAnswers(
    private val cycle: GroupControlCycle,
) {
    fun apply(event: GroupEvent.OrderAnswered) {
        if (event.result in ANSWERS) cycle.state = cycle.state.copy(lastAnswerAt = cycle.now)
        when (val order = event.order) {
            is GroupOrder.Join -> {
                recordUnansweredOrder(order.key, event.result)
                fenceAnswered(event.target, order.key, event.result)
                joinAnswered(event.target, order.key, event.result)
            }

            is GroupOrder.Open -> {
                recordUnansweredOrder(order.key, event.result)
                openAnswered(order.key, event.result)
            }

            is GroupOrder.Leave -> {
                memberLeaveAnswered(event.target, order.key, event.result)
                headLeaveAnswered(event.target, order.key, event.result)
            }

            is GroupOrder.Close -> {
                closeAnswered(order.key, event.result)
            }

            is GroupOrder.Stage -> {
                stageAnswered(event.target, event.result)
            }
        }
    }

    private fun recordUnansweredOrder(
        key: GroupKey,
        result: OrderResult,
    ) {
        if (result != OrderResult.UNKNOWN || StandbyGroups.isStandby(key)) return
        cycle.state = cycle.state.copy(unansweredOrders = cycle.state.unansweredOrders + (key to cycle.now))
    }

    /** A head that accepted the fencing order, or refused it because of an even higher epoch, refuses older orders. */
    private fun fenceAnswered(
        target: HostId,
        key: GroupKey,
        result: OrderResult,
    ) {
        if (!StandbyGroups.isStandby(key) || result !in ANSWERS) return
        cycle.state.dissolutions.values
            .filter { it.head.id == target && it.fencingGroup != null && it.key.epoch < key.epoch }
            .forEach { cycle.markDissolved(it.key) }
    }

    private fun joinAnswered(
        target: HostId,
        key: GroupKey,
        result: OrderResult,
    ) {
        val formation = cycle.state.formations[key]?.takeIf { it.phase == FormationPhase.JOINING } ?: return
        when (result) {
            OrderResult.ACCEPTED -> cycle.saveFormation(formation.copy(acceptedBy = formation.acceptedBy + target))
            OrderResult.UNKNOWN -> Unit
            else -> rejectMember(formation, target, result)
        }
    }

    private fun rejectMember(
        formation: Formation,
        target: HostId,
        result: OrderResult,
    ) {
        val member = formation.members.first { it.id == target }
        cycle.log("formation-refused", "group" to formation.key.group, "target" to target, "result" to result)
        val failed = FailedTarget(since = cycle.now, lastTriedAt = cycle.now)
        cycle.state = cycle.state.copy(failed = cycle.state.failed + (member.instance to failed))
        cycle.removeFormation(formation)
    }

    private fun openAnswered(
        key: GroupKey,
        result: OrderResult,
    ) {
        val formation = cycle.state.formations[key]?.takeIf { it.phase == FormationPhase.OPENING } ?: return
        if (result == OrderResult.ACCEPTED) {
            cycle.saveFormation(
                formation.copy(acceptedBy = formation.acceptedBy + formation.head.id, phaseStartedAt = cycle.now),
            )
        } else if (result != OrderResult.UNKNOWN) {
            cycle.removeFormation(formation)
            cycle.dissolve(key, formation.head, "open-refused", isGraceful = false)
        }
    }

    private fun closeAnswered(
        key: GroupKey,
        result: OrderResult,
    ) {
        val dissolution = cycle.state.dissolutions[key] ?: return
        if (result in ANSWERS) cycle.saveDissolution(dissolution.copy(closeAnsweredAt = cycle.now))
    }

    /**
     * An order without an answer proves nothing about the head: a live head may carry it out late. An accepted order
     * shows that the head is not in this group, but not in which one it is: only its own report, requested after that,
     * shows whether it may be fenced.
     */
    private fun headLeaveAnswered(
        target: HostId,
        key: GroupKey,
        result: OrderResult,
    ) {
        val dissolution = cycle.state.dissolutions[key]?.takeIf { it.head.id == target } ?: return
        when {
            result !in ANSWERS -> Unit
            result != OrderResult.OTHER_TARGET && cycle.canReopen(key) -> cycle.requestReport(dissolution.head)
            else -> cycle.markDissolved(key)
        }
    }

    /** A member that accepted the order isn't in the group: it has left, or had left before. */
    private fun memberLeaveAnswered(
        target: HostId,
        key: GroupKey,
        result: OrderResult,
    ) {
        val member = GroupMember(target, key)
        val release = cycle.state.releases[member]?.takeIf { it.leftAt == null } ?: return
        if (result != OrderResult.ACCEPTED) return
        cycle.log("member-left", "target" to target, "group" to key.group, "epoch" to key.epoch)
        cycle.saveRelease(member, release.copy(leftAt = cycle.now))
    }

    private fun stageAnswered(
        target: HostId,
        result: OrderResult,
    ) {
        val staging = cycle.state.staging[target] ?: return
        when (result) {
            OrderResult.ACCEPTED -> saveStaging(target, staging.copy(expiresAt = staging.contendedUntil))
            OrderResult.UNKNOWN -> Unit
            else -> cancelStaging(target, staging)
        }
    }

    private fun saveStaging(
        target: HostId,
        staging: Staging,
    ) {
        cycle.state = cycle.state.copy(staging = cycle.state.staging + (target to staging))
    }

    /**
     * No load has begun, so the permit is available to another target. This one isn't asked again for a while: it is
     * busy, or refuses for a reason that lasts.
     */
    private fun cancelStaging(
        target: HostId,
        staging: Staging,
    ) {
        val returnedTokens = if (staging.hasPermit) 1 else 0
        val retryAt = cycle.now + cycle.settings.refusedStagingMilliseconds
        cycle.state =
            cycle.state.copy(
                staging = cycle.state.staging + (target to staging.copy(expiresAt = retryAt, hasPermit = false)),
                loadTokens = cycle.state.loadTokens + returnedTokens,
            )
    }

    private companion object {
        /** Results that prove an answer from the target's address. */
        val ANSWERS = setOf(OrderResult.ACCEPTED, OrderResult.REFUSED, OrderResult.OTHER_TARGET)
    }
}
