/*
 * Whether a group may be given work, and why not.
 */
package org.vanillalink.groups

import org.vanillalink.model.Assignment
import org.vanillalink.model.BootId
import org.vanillalink.model.HostId
import org.vanillalink.model.TargetPhase

/** Why a group may not be given work. */
sealed interface NotServingReason {
    /** Nobody told this daemon what the group consists of. */
    data object NoDescription : NotServingReason

    /** A newer description was learned, and its members haven't been checked yet. */
    data object MembersChanged : NotServingReason

    /** [host] has no fresh report. */
    data class MemberSilent(
        val host: HostId,
    ) : NotServingReason

    /** [host] has another boot than when the group became whole. This generation never serves again. */
    data class MemberRestarted(
        val host: HostId,
    ) : NotServingReason

    /** [host] reports another place than the description gives it. */
    data class MemberOfOtherGeneration(
        val host: HostId,
        val reported: Assignment?,
    ) : NotServingReason

    /** [host] is not done loading. */
    data class MemberNotReady(
        val host: HostId,
        val phase: TargetPhase,
    ) : NotServingReason
}

/** What the whole-group check found. */
sealed interface GroupStatus {
    /** Every member freshly reported its place; [boots] are the members' boots. */
    data class Serving(
        val boots: Map<HostId, BootId>,
    ) : GroupStatus

    /** The group must not be given work. */
    data class NotServing(
        val reason: NotServingReason,
    ) : GroupStatus
}
