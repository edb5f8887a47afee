/*
 * Whether a group may receive requests, and the reason if not.
 */
package org.vanillalink.groups

import org.vanillalink.model.Assignment
import org.vanillalink.model.BootId
import org.vanillalink.model.HostId
import org.vanillalink.model.TargetPhase

/** Why a group must not receive requests. The names and properties of the reasons are logged. */
sealed interface NotServingReason {
    /** This daemon has not received the group's description. */
    data object NoDescription : NotServingReason

    /** A newer description was received, and its members have not been checked yet. */
    data object MembersChanged : NotServingReason

    /** [host] has no fresh report. */
    data class MemberSilent(
        val host: HostId,
    ) : NotServingReason

    /** [host] has another boot than when the group became ready. This generation never serves again. */
    data class MemberRestarted(
        val host: HostId,
    ) : NotServingReason

    /** [host] reports an assignment other than that of the description, or none. */
    data class MemberOfOtherGeneration(
        val host: HostId,
        val reported: Assignment?,
    ) : NotServingReason

    /** [host] is in [phase], not ready. */
    data class MemberNotReady(
        val host: HostId,
        val phase: TargetPhase,
    ) : NotServingReason
}

/** The result of [GroupReadinessCheck] for a group. */
sealed interface GroupStatus {
    /** Every member has a fresh report of its assignment; [boots] are the members' boots. */
    data class Serving(
        val boots: Map<HostId, BootId>,
    ) : GroupStatus

    /** The group must not receive requests. */
    data class NotServing(
        val reason: NotServingReason,
    ) : GroupStatus
}
