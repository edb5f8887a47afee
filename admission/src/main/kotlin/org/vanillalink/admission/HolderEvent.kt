/*
 * Events and decisions of the loan holder.
 */
package org.vanillalink.admission

import org.vanillalink.model.AttemptId
import org.vanillalink.model.BootId
import org.vanillalink.model.DaemonId
import org.vanillalink.model.FencingNumber
import org.vanillalink.model.HostId
import org.vanillalink.model.TargetReport

/** Input of [LoanHolder]. */
sealed interface HolderEvent {
    /** [owner] controls the domain under [fencingNumber], according to the table, a peer or a target's report. */
    data class ControlChanged(
        val owner: DaemonId?,
        val fencingNumber: FencingNumber,
    ) : HolderEvent

    /** [attempt] is ready to be sent to [target]. */
    data class AttemptRequested(
        val attempt: AttemptId,
        val target: HostId,
    ) : HolderEvent

    /**
     * [units] requests wait for a unit of [target]; zero if none does. Requests the units before an attempt is chosen,
     * so that the attempt doesn't have to be deferred.
     */
    data class UnitDemandChanged(
        val target: HostId,
        val units: Int,
    ) : HolderEvent

    /** [attempt] is sent without a unit to [target], which is warm according to [LoanHolder.isWarm]. */
    data class WarmAttemptStarted(
        val attempt: AttemptId,
        val target: HostId,
    ) : HolderEvent

    /** The execution of [attempt] has certainly ended, or the attempt never reached the target. */
    data class AttemptEnded(
        val attempt: AttemptId,
        val target: HostId,
        val evidence: EndEvidence,
    ) : HolderEvent

    /** The connection of [attempt] is closed on this side; whether its execution has ended is unknown. */
    data class AttemptLost(
        val attempt: AttemptId,
        val target: HostId,
    ) : HolderEvent

    /** A report; [fetchId] is that of the [HolderDecision.FetchReport] that returned it, null if it was passed on. */
    data class ReportReceived(
        val report: TargetReport,
        val fetchId: Long? = null,
    ) : HolderEvent

    /** The owner of the units sent [message]. */
    data class MessageReceived(
        val message: MessageToHolder,
    ) : HolderEvent

    /** Sent periodically; triggers retries and expiry. */
    data object Tick : HolderEvent
}

/** How it is known that the execution of an attempt has ended. */
enum class EndEvidence { COMPLETE_RESPONSE, CANCEL_ACKNOWLEDGED, REFUSED_BY_TARGET, NOT_SENT }

/** Output of [LoanHolder]: actions for the caller to carry out. */
sealed interface HolderDecision {
    /** Send [attempt] to [target] with [boot] and [fencingNumber]; a target that checks fencing compares both. */
    data class Admit(
        val attempt: AttemptId,
        val target: HostId,
        val boot: BootId,
        val fencingNumber: FencingNumber,
    ) : HolderDecision

    /** No unit is free for [attempt]: wait, or choose another target. */
    data class Defer(
        val attempt: AttemptId,
        val target: HostId,
    ) : HolderDecision

    /** Send [message] to [owner], which may be this daemon itself. */
    data class Send(
        val owner: DaemonId,
        val message: MessageToOwner,
    ) : HolderDecision

    /** Fetch a report from [host] itself and pass it back with [fetchId]. */
    data class FetchReport(
        val host: HostId,
        val fetchId: Long,
    ) : HolderDecision
}
