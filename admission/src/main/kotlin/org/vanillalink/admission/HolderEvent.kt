/*
 * What the account is told and what it decides.
 */
package org.vanillalink.admission

import org.vanillalink.model.AttemptId
import org.vanillalink.model.BootId
import org.vanillalink.model.DaemonId
import org.vanillalink.model.FencingNumber
import org.vanillalink.model.HostId
import org.vanillalink.model.TargetReport

/** An event for [LoanHolder]. */
sealed interface HolderEvent {
    /** [owner] controls the domain under [fencingNumber], by the table, a peer or a target's report. */
    data class ControlChanged(
        val owner: DaemonId?,
        val fencingNumber: FencingNumber,
    ) : HolderEvent

    /** [attempt] wants to be sent to [target] now. */
    data class AttemptRequested(
        val attempt: AttemptId,
        val target: HostId,
    ) : HolderEvent

    /**
     * As many as [units] requests wait for a unit of [target]; zero if none does. Asks for them before an attempt is
     * chosen, so that none has to be deferred.
     */
    data class UnitDemandChanged(
        val target: HostId,
        val units: Int,
    ) : HolderEvent

    /** [attempt] is sent without a unit to [target], which is warm by [LoanHolder.isWarm]. */
    data class WarmAttemptStarted(
        val attempt: AttemptId,
        val target: HostId,
    ) : HolderEvent

    /** The work of [attempt] has certainly ended, or never reached the target. */
    data class AttemptEnded(
        val attempt: AttemptId,
        val target: HostId,
        val evidence: EndEvidence,
    ) : HolderEvent

    /** The connection of [attempt] is closed on this side, and nothing shows whether its work has ended. */
    data class AttemptLost(
        val attempt: AttemptId,
        val target: HostId,
    ) : HolderEvent

    /** A report; [fetchId] is the number in [HolderDecision.FetchReport] if it answers one, null if passed on. */
    data class ReportReceived(
        val report: TargetReport,
        val fetchId: Long? = null,
    ) : HolderEvent

    /** [message] arrived. */
    data class MessageReceived(
        val message: MessageToHolder,
    ) : HolderEvent

    /** Time has passed. */
    data object Tick : HolderEvent
}

/** Why an attempt's work is known to have ended. */
enum class EndEvidence { COMPLETE_RESPONSE, CANCEL_ACKNOWLEDGED, REFUSED_BY_TARGET, NOT_SENT }

/** What [LoanHolder] wants done. */
sealed interface HolderDecision {
    /** Send [attempt] to [target] with [boot] and [fencingNumber], which a checking target compares with its own. */
    data class Admit(
        val attempt: AttemptId,
        val target: HostId,
        val boot: BootId,
        val fencingNumber: FencingNumber,
    ) : HolderDecision

    /** There is no unit for [attempt] now: wait, or choose another target. */
    data class Defer(
        val attempt: AttemptId,
        val target: HostId,
    ) : HolderDecision

    /** Send [message] to [owner], which may be this daemon itself. */
    data class Send(
        val owner: DaemonId,
        val message: MessageToOwner,
    ) : HolderDecision

    /** Ask [host] itself for a report now, and feed the answer with [fetchId]. */
    data class FetchReport(
        val host: HostId,
        val fetchId: Long,
    ) : HolderDecision
}
