/*
 * State of a failure domain's group controller beyond the registry. All times are milliseconds on the steady clock.
 */
package org.vanillalink.serving.control

import org.vanillalink.model.HostId
import org.vanillalink.serving.targets.GroupKey
import org.vanillalink.serving.targets.MemberState
import org.vanillalink.serving.targets.TargetEntry
import org.vanillalink.serving.targets.TargetInstance

/** Phase of a group's formation. */
enum class FormationPhase { JOINING, OPENING, OPENED }

/** A group that is being formed. */
data class Formation(
    val key: GroupKey,
    val model: String,
    val members: List<TargetEntry>,
    val phase: FormationPhase,
    val startedAt: Long,
    /** When all members should be ready if there are no faults. */
    val expectedReadyAt: Long,
    val abandonAt: Long,
    val acceptedBy: Set<HostId> = emptySet(),
    val ready: Set<HostId> = emptySet(),
    val lastSentAt: Map<HostId, Long> = emptyMap(),
    val lastRequestedAt: Map<HostId, Long> = emptyMap(),
    val phaseStartedAt: Long = startedAt,
) {
    val head: TargetEntry get() = members.first()
}

/** A group that is being dissolved. */
data class Dissolution(
    val key: GroupKey,
    val head: TargetEntry,
    /** Targets that must not be used elsewhere until the group is dissolved, whatever the registry lists. */
    val members: Set<HostId>,
    val reason: String,
    val startedAt: Long,
    /** Whether requests in flight may complete first. */
    val isGraceful: Boolean,
    val lastSentAt: Long = 0,
    /** Whether an entry has shown the head as serving, so that an entry that shows it as ready is later. */
    val wasListedAsServing: Boolean = false,
    /** When the head answered the order to close, or null. */
    val closeAnsweredAt: Long? = null,
    /** When a report was last requested from the head that closes. */
    val lastPolledAt: Long = 0,
    /** Whether the head has reported that it has closed: it has no more requests. */
    val hasClosed: Boolean = false,
    /** Consecutive unanswered report requests to the head. */
    val unansweredReports: Int = 0,
    /** When the first of them was recorded. */
    val unansweredSince: Long = 0,
    /**
     * Whether the head is neither listed nor answers, so that only the members themselves can confirm that they left.
     */
    val isHeadGone: Boolean = false,
    val lastUnansweredAt: Long = Long.MIN_VALUE / 2,
    /** The model that the group served, or null if that isn't certain. */
    val model: String? = null,
    /** The standby group that the head was ordered to join, so that it refuses delayed orders of this group. */
    val fencingGroup: GroupKey? = null,
    val fenceSentAt: Long = 0,
)

/** Whether [instance] confirmed in a report that it is free as its entry shows; null while the request is pending. */
data class FreeConfirmation(
    val instance: TargetInstance,
    val key: GroupKey?,
    val isConfirmed: Boolean?,
    val updatedAt: Long,
)

/** Consecutive report requests that a target left unanswered; the first one was sent at [since]. */
data class MissedReports(
    val count: Int,
    val since: Long,
)

/** A refused connection to a target, at [at], while it isn't certain that the network path works. */
data class UnconfirmedRefusal(
    val result: ReportResult.Unresponsive,
    val at: Long,
)

/** What the head of a group last reported of itself, at [at]. */
data class HeadReport(
    /** Its state in the group, or null if it isn't in it. */
    val state: MemberState?,
    /** Requests that it works on or has queued, or null if it doesn't say. */
    val requestsInProgress: Int?,
    val at: Long,
)

/** The membership of [target] in the group [key]. */
data class GroupMember(
    val target: HostId,
    val key: GroupKey,
)

/** The order to a member of a group whose head can't be asked to leave it. */
data class MemberRelease(
    val instance: TargetInstance,
    val lastSentAt: Long,
    /** When the member itself confirmed that it isn't in the group, or null. */
    val leftAt: Long? = null,
)

/** A target instance that has given no answer since [since]; it was last asked at [lastTriedAt]. */
data class FailedTarget(
    val since: Long,
    val lastTriedAt: Long,
    /** Whether its process has ended, as another one or no one listens at its address; otherwise it may be silent. */
    val hasEnded: Boolean = false,
    /** When the last request was sent that it left unanswered while another target answered. */
    val lastMissedAt: Long = since,
)

/** The state of [GroupController]. */
data class GroupControlState(
    val nextEpoch: Long,
    /** The first epoch of this term; groups with a lower epoch were formed by another controller. */
    val firstEpoch: Long = nextEpoch,
    /** Groups with unanswered orders to join or open, which may still take effect, with the time of the last one. */
    val unansweredOrders: Map<GroupKey, Long> = emptyMap(),
    /** Whether an earlier controller may have used targets in ways that their entries don't show yet. */
    val hasPredecessor: Boolean = false,
    /** Confirmations of targets that they are free, requested before they are used. */
    val confirmations: Map<HostId, FreeConfirmation> = emptyMap(),
    val formations: Map<GroupKey, Formation> = emptyMap(),
    val dissolutions: Map<GroupKey, Dissolution> = emptyMap(),
    /** Groups whose head has definitely stopped serving under this key, with the time of the dissolution. */
    val dissolvedAt: Map<GroupKey, Long> = emptyMap(),
    /** Target instances that didn't answer, or refused to join a group. */
    val failed: Map<TargetInstance, FailedTarget> = emptyMap(),
    /** Consecutive unanswered report requests by target instance. */
    val unansweredReports: Map<TargetInstance, MissedReports> = emptyMap(),
    /** Refused connections that count as soon as another target's answer shows that the path works. */
    val unconfirmedRefusals: Map<HostId, UnconfirmedRefusal> = emptyMap(),
    /** The last reports of heads about their groups. */
    val headReports: Map<GroupKey, HeadReport> = emptyMap(),
    /** Members that are ordered to leave a group whose head can't be asked. */
    val releases: Map<GroupMember, MemberRelease> = emptyMap(),
    /** When a report was last requested from each target. */
    val requestedAt: Map<HostId, Long> = emptyMap(),
    /** Models that hosts were ordered to stage. */
    val staging: Map<HostId, Staging> = emptyMap(),
    /** Members of each group as last listed, including those that are no longer listed. */
    val rosters: Map<GroupKey, Roster> = emptyMap(),
    /** When any target of the failure domain last answered: if none does, a missing answer proves nothing. */
    val lastAnswerAt: Long = Long.MIN_VALUE,
    /** Since when unlisted heads have answered; [massExpiryAt] is when many members were last unlisted at once. */
    val unlistedAliveSince: Map<TargetInstance, Long> = emptyMap(),
    val massExpiryAt: Long = Long.MIN_VALUE / 2,
    /** The targets that are listed; [newTargetAt] is when the last new one was listed. */
    val listedTargets: Set<HostId> = emptySet(),
    val newTargetAt: Long = 0,
    /** When the first target of each fabric domain was listed. */
    val firstListedAt: Map<String?, Long> = emptyMap(),
    /** Models without an open group while there is traffic. */
    val unservedModels: Map<String, UnservedModel> = emptyMap(),
    /** Members that are reassigned to a model with more demand. */
    val demandReassignment: DemandReassignmentState = DemandReassignmentState(),
    /** Hosts that were ordered to hold a model in memory without an open group. */
    val standby: Map<HostId, Staging> = emptyMap(),
    /** Token bucket for loads from the weight store. */
    val loadTokens: Double = 0.0,
    val loadTokensFilledAt: Long = 0,
)

/** An order to a host to stage a model or hold it in memory, in progress until [expiresAt] at the latest. */
data class Staging(
    val model: String,
    val expiresAt: Long,
    /** The same if the target has accepted the order, as loads that run at once take longer. */
    val contendedUntil: Long = expiresAt,
    /** Whether it took a permit, which is returned if the target refuses the order. */
    val hasPermit: Boolean = false,
)

/** The members of one group: all that were ever listed in it, except those now listed elsewhere. */
data class Roster(
    val members: Map<HostId, TargetEntry>,
    val firstSeenAt: Long,
    val seenAt: Long,
) {
    /** The member that takes the group's requests, or null if it was never listed. */
    val head: TargetEntry? get() = members.values.firstOrNull { it.membership?.rank == 0 }
}
