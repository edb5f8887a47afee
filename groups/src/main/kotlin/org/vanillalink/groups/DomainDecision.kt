/*
 * The decisions of the control of a failure domain, which the daemon carries out.
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

/** An order to a target. */
sealed interface TargetOrder {
    /** Take [assignment], loading weights if needed; [members] are all hosts of the group in rank order. */
    data class Load(
        val assignment: Assignment,
        val members: List<HostId>,
    ) : TargetOrder

    /** Drop the assignment and become empty. */
    data object Release : TargetOrder

    /** Reject orders with a number below [fencingNumber] from now on. */
    data class Fence(
        val fencingNumber: FencingNumber,
    ) : TargetOrder
}

/** Why control was lost. The names and properties of the reasons are logged. */
sealed interface ControlLossReason {
    /** A greater fencing number was observed. */
    data class Superseded(
        val by: FencingNumber,
    ) : ControlLossReason

    /** A conditional write conflicted with rows that this controller did not write. */
    data object ConflictingRows : ControlLossReason

    /** The daemon shuts down. */
    data object GivenUp : ControlLossReason
}

/** Why the members of a group were changed. The names and properties of the reasons are logged. */
sealed interface RepairReason {
    /** The group did not have the desired number of members, or had not been formed yet. */
    data object Lacking : RepairReason

    /** These members are silent, leaving, or no longer listed. */
    data class MembersLost(
        val hosts: Set<HostId>,
    ) : RepairReason

    /** [host] restarted after it had reported its assignment. */
    data class MemberRestarted(
        val host: HostId,
    ) : RepairReason

    /** A router observed a member's restart that the controller did not observe. */
    data object GenerationEnded : RepairReason

    /** [host] is far slower than the other members of its service. */
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

    /** Publish the group's current members to the routers of this daemon and its peers. */
    data class PublishDescription(
        val description: GroupDescription,
    ) : DomainDecision

    /** Announce to the routers of this daemon and its peers that the group was dissolved. */
    data class PublishDissolved(
        val group: GroupId,
        val generation: Generation,
    ) : DomainDecision

    /** A decision that is recorded on the timeline. */
    sealed interface TimelineEntry : DomainDecision

    /** This daemon gained control with [fencingNumber]. */
    data class ControlGained(
        val fencingNumber: FencingNumber,
    ) : TimelineEntry

    /** This daemon lost the control that it held with [fencingNumber]. */
    data class ControlLost(
        val fencingNumber: FencingNumber,
        val reason: ControlLossReason,
    ) : TimelineEntry

    /** [description] was formed because of [reason]. */
    data class GroupFormed(
        val description: GroupDescription,
        val reason: RepairReason,
    ) : TimelineEntry

    /** A group that a predecessor had formed without writing its row was taken over. */
    data class GroupTakenOver(
        val description: GroupDescription,
    ) : TimelineEntry

    /** The table service became reachable or unreachable for the controller. */
    data class PlatformStatusChanged(
        val isReachable: Boolean,
    ) : TimelineEntry
}

/** A message from one part of the aggregate to another, not passed on to the daemon. */
internal sealed interface InternalDecision : DomainDecision {
    data class SendToControl(
        val event: ControlEvent,
    ) : InternalDecision

    data class WritesFinished(
        val result: Either<StoreFailure, TransactionResult>,
    ) : InternalDecision
}
