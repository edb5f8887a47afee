/*
 * Everything that the control of a failure domain is told.
 */
package org.vanillalink.groups

import arrow.core.Either
import org.vanillalink.model.FencingNumber
import org.vanillalink.model.Generation
import org.vanillalink.model.GroupId
import org.vanillalink.model.Host
import org.vanillalink.model.HostId
import org.vanillalink.model.ServiceName
import org.vanillalink.store.ConditionalWrite
import org.vanillalink.store.Row
import org.vanillalink.store.RowKey
import org.vanillalink.store.StoreFailure
import org.vanillalink.store.TransactionResult

/** An event for [FailureDomainAggregate]. */
sealed interface DomainEvent {
    /** Time passed. Feed it several times a second. */
    data object Tick : DomainEvent
}

/** An event for the rules on who holds control. */
sealed interface ControlEvent : DomainEvent {
    /** The answer to [DomainDecision.ReadControlRow]; null where the row doesn't exist. */
    data class ControlRowRead(
        val result: Either<StoreFailure, Row?>,
    ) : ControlEvent

    /** The answer to [DomainDecision.Transact] with the same [write]. */
    data class TransactionFinished(
        val write: Long,
        val result: Either<StoreFailure, TransactionResult>,
    ) : ControlEvent

    /** A peer, a target's report or a refused order showed [fencingNumber] for this failure domain. */
    data class FencingNumberSeen(
        val fencingNumber: FencingNumber,
    ) : ControlEvent

    /** The daemon shuts down: control is given up and not taken again. */
    data object ShuttingDown : ControlEvent

    /** The group controller wants [writes] done in one transaction while it holds control. */
    data class TransactionRequested(
        val writes: List<ConditionalWrite>,
    ) : ControlEvent

    /** The group controller met rows that it didn't write. */
    data object StepDownRequested : ControlEvent
}

/** How many groups of one model a failure domain should have. */
data class DesiredService(
    val service: ServiceName,
    val membersPerGroup: Int,
    val groups: Int,
    val priority: Int = 0,
)

/** Why an order had no answer that it was taken. */
sealed interface OrderFailure {
    /** The target didn't answer; the order may have been taken. */
    data object Unreachable : OrderFailure

    /** The target takes no order with a number below [highestFencingNumber]. */
    data class Fenced(
        val highestFencingNumber: FencingNumber,
    ) : OrderFailure
}

/** An event for the rules on groups. */
sealed interface ControllerEvent : DomainEvent {
    /** The platform's host list was read; hosts of other failure domains are left aside. */
    data class HostsListed(
        val hosts: List<Host>,
    ) : ControllerEvent

    /** The models of the configuration in force. */
    data class ServicesDesired(
        val services: List<DesiredService>,
    ) : ControllerEvent

    /** A target's report arrived, directly or through a peer. */
    data class ReportReceived(
        val received: ReceivedReport,
    ) : ControllerEvent

    /** The answer to [DomainDecision.ScanRows]. */
    data class RowsScanned(
        val result: Either<StoreFailure, Map<RowKey, Row>>,
    ) : ControllerEvent

    /** The answer to [DomainDecision.ReadRows] for [keys]. */
    data class RowsRead(
        val keys: Set<RowKey>,
        val result: Either<StoreFailure, Map<RowKey, Row>>,
    ) : ControllerEvent

    /** The answer to [DomainDecision.SendOrder]. */
    data class OrderAnswered(
        val host: HostId,
        val result: Either<OrderFailure, Unit>,
    ) : ControllerEvent

    /** A router, this daemon's or a peer's, saw a member restart after [generation] was whole. */
    data class GenerationEnded(
        val group: GroupId,
        val generation: Generation,
    ) : ControllerEvent

    /** This daemon holds control with [fencingNumber]. */
    data class ControlGained(
        val fencingNumber: FencingNumber,
    ) : ControllerEvent

    /** This daemon holds control no more. */
    data object ControlLost : ControllerEvent

    /** The table service began or ceased to answer. */
    data class PlatformStatusChanged(
        val isReachable: Boolean,
    ) : ControllerEvent

    /** The one transaction that was asked for has ended. */
    data class WritesFinished(
        val result: Either<StoreFailure, TransactionResult>,
    ) : ControllerEvent
}
