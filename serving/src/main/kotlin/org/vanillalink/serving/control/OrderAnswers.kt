/*
 * What answers to orders change.
 */
package org.vanillalink.serving.control

import org.vanillalink.model.HostId
import org.vanillalink.serving.targets.GroupKey

internal class OrderAnswers(
    private val work: GroupWork,
) {
    fun apply(event: GroupEvent.OrderAnswered) {
        if (event.result in ANSWERS) work.state = work.state.copy(answeredAt = work.now)
        when (val order = event.order) {
            is GroupOrder.Join -> {
                unsettled(order.key, event.result)
                fenceAnswered(event.target, order.key, event.result)
                joinAnswered(event.target, order.key, event.result)
            }

            is GroupOrder.Open -> {
                unsettled(order.key, event.result)
                openAnswered(order.key, event.result)
            }

            is GroupOrder.Leave -> {
                leaveAnswered(order.key, event.result)
            }

            is GroupOrder.Close -> {
                Unit
            }

            is GroupOrder.Stage -> {
                stageAnswered(event.target, event.result)
            }
        }
    }

    private fun unsettled(
        key: GroupKey,
        result: OrderResult,
    ) {
        if (result != OrderResult.UNKNOWN || StandbyGroups.isStandby(key)) return
        work.state = work.state.copy(unsettled = work.state.unsettled + (key to work.now))
    }

    /** A head that has taken a later order, or refuses it because it has seen a later one still, refuses older ones. */
    private fun fenceAnswered(
        target: HostId,
        key: GroupKey,
        result: OrderResult,
    ) {
        if (!StandbyGroups.isStandby(key) || result !in ANSWERS) return
        work.state.dissolutions.values
            .filter { it.head.id == target && it.fence != null && it.key.epoch < key.epoch }
            .forEach { work.dissolved(it.key) }
    }

    private fun joinAnswered(
        target: HostId,
        key: GroupKey,
        result: OrderResult,
    ) {
        val formation = work.state.formations[key]?.takeIf { it.phase == FormationPhase.JOINING } ?: return
        when (result) {
            OrderResult.ACCEPTED -> work.update(formation.copy(joined = formation.joined + target))
            OrderResult.UNKNOWN -> Unit
            else -> giveUp(formation, target, result)
        }
    }

    private fun giveUp(
        formation: Formation,
        target: HostId,
        result: OrderResult,
    ) {
        val member = formation.members.first { it.id == target }
        work.note("formation-refused", "group" to formation.key.group, "target" to target, "result" to result)
        work.state = work.state.copy(silent = work.state.silent + (member.instance to work.now))
        work.drop(formation)
    }

    private fun openAnswered(
        key: GroupKey,
        result: OrderResult,
    ) {
        val formation = work.state.formations[key]?.takeIf { it.phase == FormationPhase.OPENING } ?: return
        if (result == OrderResult.ACCEPTED) {
            work.update(formation.copy(joined = formation.joined + formation.head.id, phaseSince = work.now))
        } else if (result != OrderResult.UNKNOWN) {
            work.drop(formation)
            work.dissolve(key, formation.head, "open-refused", isGentle = false)
        }
    }

    /** An order without an answer proves nothing of the head: a live one may carry it out late. */
    private fun leaveAnswered(
        key: GroupKey,
        result: OrderResult,
    ) {
        if (key !in work.state.dissolutions) return
        // A head that refuses may be in another group by now, and only its report tells whether it may be fenced.
        val isReportNeeded = result == OrderResult.REFUSED && work.mayReopen(key)
        when {
            result == OrderResult.ACCEPTED -> work.left(key)
            result in ANSWERS && !isReportNeeded -> work.dissolved(key)
        }
    }

    private fun stageAnswered(
        target: HostId,
        result: OrderResult,
    ) {
        if (result == OrderResult.ACCEPTED || result == OrderResult.UNKNOWN) return
        work.state = work.state.copy(staging = work.state.staging - target)
    }

    private companion object {
        /** Results that only the target's own answer can give. */
        val ANSWERS = setOf(OrderResult.ACCEPTED, OrderResult.REFUSED, OrderResult.OTHER_TARGET)
    }
}
