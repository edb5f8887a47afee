/*
 * The events that the control of a failure domain handles.
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
    /** Time passed. To be fed several times a second. */
    data object Tick : DomainEvent
}

/** An event for the rules on who holds control. */
sealed interface ControlEvent : DomainEvent {
    /** The result of [DomainDecision.ReadControlRow]; null if the row does not exist. */
    data class ControlRowRead(
        val result: Either<StoreFailure, Row?>,
    ) : ControlEvent

    /** The result of [DomainDecision.Transact] with the same [write]. */
    data class TransactionFinished(
        val write: Long,
        val result: Either<StoreFailure, TransactionResult>,
    ) : ControlEvent

    /** A peer, a target's report or a rejected order contained [fencingNumber] for this failure domain. */
    data class FencingNumberSeen(
        val fencingNumber: FencingNumber,
    ) : ControlEvent

    /** The daemon shuts down: control is given up and not acquired again. */
    data object ShuttingDown : ControlEvent

    /** The group controller requests [writes] in one transaction, applied only while this daemon holds control. */
    data class TransactionRequested(
        val writes: List<ConditionalWrite>,
    ) : ControlEvent

    /** The group controller's writes conflicted with rows that it did not write. */
    data object StepDownRequested : ControlEvent
}

/** The number and size of the groups of one model that a failure domain should have. */
data class DesiredService(
    val service: ServiceName,
    val membersPerGroup: Int,
    val groups: Int,
    val priority: Int = 0,
)

/** Why an order was not acknowledged. */
sealed interface OrderFailure {
    /** The target did not respond; it may have accepted the order. */
    data object Unreachable : OrderFailure

    /** The target rejects orders with a number below [highestFencingNumber]. */
    data class Fenced(
        val highestFencingNumber: FencingNumber,
    ) : OrderFailure
}

/** An event for the rules on groups. */
sealed interface ControllerEvent : DomainEvent {
    /** The platform's host list was read; hosts of other failure domains are ignored. */
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

    /** The result of [DomainDecision.ScanRows]. */
    data class RowsScanned(
        val result: Either<StoreFailure, Map<RowKey, Row>>,
    ) : ControllerEvent

    /** The result of [DomainDecision.ReadRows] for [keys]. */
    data class RowsRead(
        val keys: Set<RowKey>,
        val result: Either<StoreFailure, Map<RowKey, Row>>,
    ) : ControllerEvent

    /** The result of [DomainDecision.SendOrder]. */
    data class OrderAnswered(
        val host: HostId,
        val result: Either<OrderFailure, Unit>,
    ) : ControllerEvent

    /** The router of this daemon or of a peer observed a member's restart after [generation] had become ready. */
    data class GenerationEnded(
        val group: GroupId,
        val generation: Generation,
    ) : ControllerEvent

    /** This daemon gained control with [fencingNumber]. */
    data class ControlGained(
        val fencingNumber: FencingNumber,
    ) : ControllerEvent

    /** This daemon lost control. */
    data object ControlLost : ControllerEvent

    /** The table service became reachable or unreachable. */
    data class PlatformStatusChanged(
        val isReachable: Boolean,
    ) : ControllerEvent

    /** The one requested transaction has finished. */
    data class WritesFinished(
        val result: Either<StoreFailure, TransactionResult>,
    ) : ControllerEvent
}
