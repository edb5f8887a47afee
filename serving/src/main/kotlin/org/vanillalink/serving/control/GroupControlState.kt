/*
 * What the controller of a failure domain knows beyond the registry. All times are milliseconds on the steady clock.
 */
package org.vanillalink.serving.control

import org.vanillalink.model.HostId
import org.vanillalink.serving.targets.GroupKey
import org.vanillalink.serving.targets.TargetEntry
import org.vanillalink.serving.targets.TargetInstance

/** How far a group's formation has come. */
enum class FormationPhase { JOINING, OPENING, OPENED }

/** A group that is being formed. */
data class Formation(
    val key: GroupKey,
    val model: String,
    val members: List<TargetEntry>,
    val phase: FormationPhase,
    val startedAt: Long,
    /** When all members should be ready if nothing goes wrong. */
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

/** Why and since when a group is taken apart. */
data class Dissolution(
    val key: GroupKey,
    val head: TargetEntry,
    /** Who must not be used elsewhere meanwhile, whatever the registry shows. */
    val members: Set<HostId>,
    val reason: String,
    val startedAt: Long,
    /** Whether work in progress may finish first. */
    val isGraceful: Boolean,
    val lastSentAt: Long = 0,
    /** Questions to the head without any answer, one right after the other. */
    val unansweredReports: Int = 0,
    /** What the group served, or null where that isn't certain. */
    val model: String? = null,
    /** The standby group that the head was told to join so that late orders of this one are refused, and when. */
    val fencingGroup: GroupKey? = null,
    val fenceSentAt: Long = 0,
)

/** Whether [run] itself has said that it is as free as its entry shows; null while the question is under way. */
data class FreeConfirmation(
    val instance: TargetInstance,
    val key: GroupKey?,
    val isConfirmed: Boolean?,
    val updatedAt: Long,
)

/** The state of [GroupController]. */
data class GroupControlState(
    val nextEpoch: Long,
    /** The first epoch of this term; groups with a lower one were formed by another controller. */
    val firstEpoch: Long = nextEpoch,
    /** Groups with orders to join or to open that had no answer and may be carried out late, with the last one. */
    val unansweredOrders: Map<GroupKey, Long> = emptyMap(),
    /** Whether another controller may have used targets in a way that their entries don't show yet. */
    val hasPredecessor: Boolean = false,
    /** What targets said of themselves before they were used. */
    val confirmations: Map<HostId, FreeConfirmation> = emptyMap(),
    val formations: Map<GroupKey, Formation> = emptyMap(),
    val dissolutions: Map<GroupKey, Dissolution> = emptyMap(),
    /** Groups whose head certainly serves no more under this key, with the time of that. */
    val dissolvedAt: Map<GroupKey, Long> = emptyMap(),
    /** Runs of targets that gave no answer, with the time of the last try. */
    val failed: Map<TargetInstance, Long> = emptyMap(),
    /** Questions to runs of targets that had no answer since the last one that had. */
    val unansweredReports: Map<TargetInstance, Int> = emptyMap(),
    /** When members of a suspected group were last asked. */
    val requestedAt: Map<HostId, Long> = emptyMap(),
    /** Models that hosts were told to stage, until when that may take. */
    val staging: Map<HostId, Staging> = emptyMap(),
    /** Members of each group as last listed, those too that are no longer listed. */
    val rosters: Map<GroupKey, Roster> = emptyMap(),
    /** When a target of the failure domain last answered anything: while none does, silence proves nothing. */
    val lastAnswerAt: Long = Long.MIN_VALUE,
    /** Since when unlisted heads have answered, and when many members were last unlisted at once. */
    val unlistedAliveSince: Map<TargetInstance, Long> = emptyMap(),
    val massExpiryAt: Long = Long.MIN_VALUE / 2,
    /** The targets listed, and when the last new one came. */
    val listedTargets: Set<HostId> = emptySet(),
    val newTargetAt: Long = 0,
    /** Hosts that hold a model in memory without a group, or were told to. */
    val standby: Map<HostId, Staging> = emptyMap(),
    /** Allowance of loads from the weight store, and when it was last filled. */
    val loadTokens: Double = 0.0,
    val loadTokensFilledAt: Long = 0,
)

/** A host on its way to keep a model ready. */
data class Staging(
    val model: String,
    val expiresAt: Long,
)

/** The members of one group, as far as they have ever been listed in it and aren't known to be elsewhere. */
data class Roster(
    val members: Map<HostId, TargetEntry>,
    val firstSeenAt: Long,
    val seenAt: Long,
) {
    /** The member that takes the group's requests, or null where it has not been seen. */
    val head: TargetEntry? get() = members.values.firstOrNull { it.membership?.rank == 0 }
}
