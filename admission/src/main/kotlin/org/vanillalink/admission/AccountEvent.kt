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

/** An event for [AdmissionAccount]. */
sealed interface AccountEvent {
    /** [owner] controls the domain under [fencingNumber], by the table, a peer or a target's report. */
    data class ControlChanged(
        val owner: DaemonId?,
        val fencingNumber: FencingNumber,
    ) : AccountEvent

    /** [attempt] wants to be sent to [target] now. */
    data class AttemptRequested(
        val attempt: AttemptId,
        val target: HostId,
    ) : AccountEvent

    /**
     * As many as [units] requests wait for a unit of [target]; zero if none does. Asks for them before an attempt is
     * chosen, so that none has to be deferred.
     */
    data class UnitsWanted(
        val target: HostId,
        val units: Int,
    ) : AccountEvent

    /** [attempt] is sent without a unit to [target], which is warm by [AdmissionAccount.isWarm]. */
    data class WarmAttemptStarted(
        val attempt: AttemptId,
        val target: HostId,
    ) : AccountEvent

    /** The work of [attempt] has certainly ended, or never reached the target. */
    data class AttemptEnded(
        val attempt: AttemptId,
        val target: HostId,
        val evidence: EndEvidence,
    ) : AccountEvent

    /** The connection of [attempt] is closed on this side, and nothing shows whether its work has ended. */
    data class AttemptLost(
        val attempt: AttemptId,
        val target: HostId,
    ) : AccountEvent

    /** A report; [question] is the number in [AccountDecision.AskReport] if it answers one, null if passed on. */
    data class ReportReceived(
        val report: TargetReport,
        val question: Long? = null,
    ) : AccountEvent

    /** [message] arrived. */
    data class MessageReceived(
        val message: MessageToHolder,
    ) : AccountEvent

    /** Time has passed. */
    data object Tick : AccountEvent
}

/** Why an attempt's work is known to have ended. */
enum class EndEvidence { WHOLE_ANSWER, CANCEL_ACKNOWLEDGED, REFUSED_BY_TARGET, NOT_SENT }

/** What [AdmissionAccount] wants done. */
sealed interface AccountDecision {
    /** Send [attempt] to [target] with [boot] and [fencingNumber], which a checking target compares with its own. */
    data class Admit(
        val attempt: AttemptId,
        val target: HostId,
        val boot: BootId,
        val fencingNumber: FencingNumber,
    ) : AccountDecision

    /** There is no unit for [attempt] now: wait, or choose another target. */
    data class Defer(
        val attempt: AttemptId,
        val target: HostId,
    ) : AccountDecision

    /** Send [message] to [owner], which may be this daemon itself. */
    data class Send(
        val owner: DaemonId,
        val message: MessageToOwner,
    ) : AccountDecision

    /** Ask [host] itself for a report now, and feed the answer with [question]. */
    data class AskReport(
        val host: HostId,
        val question: Long,
    ) : AccountDecision
}
