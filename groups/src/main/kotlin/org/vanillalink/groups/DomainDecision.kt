/*
 * Everything that the control of a failure domain asks to be done.
 */
package org.vanillalink.groups

import arrow.core.Either
import org.vanillalink.model.Assignment
import org.vanillalink.model.FencingNumber
import org.vanillalink.model.Generation
import org.vanillalink.model.GroupId
import org.vanillalink.model.HostId
import org.vanillalink.store.ConditionalWrite
import org.vanillalink.store.RowKey
import org.vanillalink.store.StoreFailure
import org.vanillalink.store.TransactionResult

/** What a target is told to do. */
sealed interface TargetOrder {
    /** Take this place; [members] are all hosts of the group in the order of their ranks. */
    data class Load(
        val assignment: Assignment,
        val members: List<HostId>,
    ) : TargetOrder

    /** Give the place up and become empty. */
    data object Release : TargetOrder

    /** Take no order with a number below [fencingNumber] from now on. */
    data class Fence(
        val fencingNumber: FencingNumber,
    ) : TargetOrder
}

/** Why control was lost. */
sealed interface ControlLossReason {
    /** A greater number was seen. */
    data class Superseded(
        val by: FencingNumber,
    ) : ControlLossReason

    /** A conditional write showed rows that this controller didn't write. */
    data object ConflictingRows : ControlLossReason

    /** The daemon shuts down. */
    data object GivenUp : ControlLossReason
}

/** Why the members of a group were changed. */
sealed interface RepairReason {
    /** The group lacked members, or never had any. */
    data object Lacking : RepairReason

    /** These members are silent, leaving, or no longer listed. */
    data class MembersLost(
        val hosts: Set<HostId>,
    ) : RepairReason

    /** [host] restarted after it had taken its place. */
    data class MemberRestarted(
        val host: HostId,
    ) : RepairReason

    /** A router saw a member restart that the controller itself didn't see. */
    data object GenerationEnded : RepairReason

    /** [host] is far slower than its peers. */
    data class Straggler(
        val host: HostId,
    ) : RepairReason
}

/** A decision of [FailureDomainAggregate]. */
sealed interface DomainDecision {
    /** Read the row [key] and feed [ControlEvent.ControlRowRead]. */
    data class ReadControlRow(
        val key: RowKey,
    ) : DomainDecision

    /** Apply [writes] in one transaction and feed [ControlEvent.TransactionFinished] with the same [write]. */
    data class Transact(
        val write: Long,
        val writes: List<ConditionalWrite>,
    ) : DomainDecision

    /** Scan [prefix] and feed [ControllerEvent.RowsScanned]. */
    data class ScanRows(
        val prefix: String,
    ) : DomainDecision

    /** Read [keys] and feed [ControllerEvent.RowsRead]. */
    data class ReadRows(
        val keys: Set<RowKey>,
    ) : DomainDecision

    /** Send [order] to [host]'s target and feed [ControllerEvent.OrderAnswered]. */
    data class SendOrder(
        val host: HostId,
        val fencingNumber: FencingNumber,
        val order: TargetOrder,
    ) : DomainDecision

    /** Tell this daemon's and the peers' routers what the group consists of now. */
    data class PublishDescription(
        val description: GroupDescription,
    ) : DomainDecision

    /** Tell this daemon's and the peers' routers that the group was given up. */
    data class PublishDissolved(
        val group: GroupId,
        val generation: Generation,
    ) : DomainDecision

    /** For the time line. */
    sealed interface TimelineEntry : DomainDecision

    /** Control was taken with [fencingNumber]. */
    data class ControlGained(
        val fencingNumber: FencingNumber,
    ) : TimelineEntry

    /** Control was lost. */
    data class ControlLost(
        val fencingNumber: FencingNumber,
        val reason: ControlLossReason,
    ) : TimelineEntry

    /** [description] was formed because of [reason]. */
    data class GroupFormed(
        val description: GroupDescription,
        val reason: RepairReason,
    ) : TimelineEntry

    /** A group that a predecessor had formed without writing it down was taken over. */
    data class GroupTakenOver(
        val description: GroupDescription,
    ) : TimelineEntry

    /** The table service began or ceased to answer the controller. */
    data class PlatformStatusChanged(
        val isReachable: Boolean,
    ) : TimelineEntry
}

/** A request of one part of the aggregate to another; the daemon never sees it. */
internal sealed interface InternalDecision : DomainDecision {
    data class SendToControl(
        val event: ControlEvent,
    ) : InternalDecision

    data class WritesFinished(
        val result: Either<StoreFailure, TransactionResult>,
    ) : InternalDecision
}
