/*
 * Carries out decisions on the control of a failure domain: rows, orders.
 */
package org.vanillalink.daemon.control

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.vanillalink.control.DaemonDecision
import org.vanillalink.control.DaemonEvent
import org.vanillalink.groups.ControlEvent
import org.vanillalink.groups.ControllerEvent
import org.vanillalink.groups.DomainDecision
import org.vanillalink.groups.DomainEvent
import org.vanillalink.groups.OrderFailure
import org.vanillalink.groups.TargetOrder
import org.vanillalink.model.Endpoint
import org.vanillalink.model.HostId
import org.vanillalink.store.TableStore
import org.vanillalink.targets.MemberMessage
import org.vanillalink.targets.OrderKind
import org.vanillalink.targets.OrderMessage
import org.vanillalink.targets.OrderResponse
import org.vanillalink.targets.TargetClient

/** [endpointOf] gives where a listed host's target listens. */
class DomainExecutor(
    private val loop: ControlLoop,
    private val table: TableStore,
    private val targets: TargetClient,
    private val endpointOf: (HostId) -> Endpoint?,
) : DecisionExecutor {
    override fun execute(decision: DaemonDecision) {
        val wanted = (decision as? DaemonDecision.ForDomain)?.decision ?: return
        when (wanted) {
            is DomainDecision.ReadControlRow -> readControlRow(wanted)
            is DomainDecision.Transact -> transact(wanted)
            is DomainDecision.ScanRows -> table.scan(wanted.prefix).thenAccept { tell(ControllerEvent.RowsScanned(it)) }
            is DomainDecision.ReadRows -> readRows(wanted)
            is DomainDecision.SendOrder -> sendOrder(wanted)
            else -> Unit
        }
    }

    private fun readControlRow(wanted: DomainDecision.ReadControlRow) {
        table.read(setOf(wanted.key)).thenAccept { answer ->
            tell(ControlEvent.ControlRowRead(answer.map { it[wanted.key] }))
        }
    }

    private fun transact(wanted: DomainDecision.Transact) {
        table.transact(wanted.writes).thenAccept { tell(ControlEvent.TransactionFinished(wanted.write, it)) }
    }

    private fun readRows(wanted: DomainDecision.ReadRows) {
        table.read(wanted.keys).thenAccept { tell(ControllerEvent.RowsRead(wanted.keys, it)) }
    }

    private fun sendOrder(wanted: DomainDecision.SendOrder) {
        val endpoint = endpointOf(wanted.host)
        if (endpoint == null) {
            tell(ControllerEvent.OrderAnswered(wanted.host, OrderFailure.Unreachable.left()))
            return
        }
        targets.sendOrder(endpoint, message(wanted)).thenAccept { answer ->
            val result = answer.fold({ OrderFailure.Unreachable.left() }, ::toResult)
            tell(ControllerEvent.OrderAnswered(wanted.host, result))
        }
    }

    private fun toResult(answer: OrderResponse): Either<OrderFailure, Unit> =
        if (answer.taken) Unit.right() else OrderFailure.Fenced(answer.highestFencingNumber).left()

    private fun message(wanted: DomainDecision.SendOrder): OrderMessage = when (val order = wanted.order) {
        is TargetOrder.Load -> {
            val members = order.members.mapNotNull { host -> endpointOf(host)?.let { MemberMessage(host, it) } }
            OrderMessage(wanted.fencingNumber, OrderKind.LOAD, order.assignment, members)
        }

        TargetOrder.Release -> {
            OrderMessage(wanted.fencingNumber, OrderKind.RELEASE)
        }

        is TargetOrder.Fence -> {
            OrderMessage(order.fencingNumber, OrderKind.FENCE)
        }
    }

    private fun tell(event: DomainEvent) = loop.tell(DaemonEvent.ForDomain(event))
}
