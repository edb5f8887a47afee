/*
 * Events and decisions of the ledger.
 */
package org.vanillalink.admission

import org.vanillalink.model.BootId
import org.vanillalink.model.FencingNumber
import org.vanillalink.model.HostId
import org.vanillalink.model.TargetReport

/** Input of [AdmissionLedger]. */
sealed interface LedgerEvent {
    /**
     * This daemon now controls the domain. [holders] are all process instances that the table listed when the control
     * row was written.
     */
    data class ControlGained(
        val fencingNumber: FencingNumber,
        val holders: Set<Holder>,
    ) : LedgerEvent

    /** Another daemon controls the domain, or this one stepped down. */
    data object ControlLost : LedgerEvent

    /** The table lists [holders], and its control row still names this daemon. */
    data class HoldersRegistered(
        val holders: Set<Holder>,
    ) : LedgerEvent

    /** [host] accepts requests; [warmRequests] is its bound when warm. */
    data class TargetAdded(
        val host: HostId,
        val checksFencing: Boolean,
        val warmRequests: Int,
    ) : LedgerEvent

    /** [host] no longer accepts requests. */
    data class TargetRemoved(
        val host: HostId,
    ) : LedgerEvent

    /** A report; [fetchId] is that of the [LedgerDecision.FetchReport] that returned it, null if it was passed on. */
    data class ReportReceived(
        val report: TargetReport,
        val fetchId: Long? = null,
    ) : LedgerEvent

    /** Requests at [host] are as slow as on a cold target. */
    data class SlownessDetected(
        val host: HostId,
        val boot: BootId,
    ) : LedgerEvent

    /** A holder sent [message], which may be this daemon's own. */
    data class MessageReceived(
        val message: MessageToOwner,
    ) : LedgerEvent

    /** The process of [holder] has certainly ended and its connections are closed. */
    data class DaemonEnded(
        val holder: Holder,
    ) : LedgerEvent

    /** Sent periodically; triggers recalls and retries. */
    data object Tick : LedgerEvent
}

/** Output of [AdmissionLedger]: actions for the caller to carry out. */
sealed interface LedgerDecision {
    /** Send [message] to [holder], which may be this daemon itself. */
    data class Send(
        val holder: Holder,
        val message: MessageToHolder,
    ) : LedgerDecision

    /** Fetch a report from [host] itself and pass it back with [fetchId]. */
    data class FetchReport(
        val host: HostId,
        val fetchId: Long,
    ) : LedgerDecision

    /** Order [host] to adopt [fencingNumber]. */
    data class OrderFence(
        val host: HostId,
        val fencingNumber: FencingNumber,
    ) : LedgerDecision

    /** A target or daemon reported the greater [fencingNumber]: this daemon no longer controls the domain. */
    data class ControlSuperseded(
        val fencingNumber: FencingNumber,
    ) : LedgerDecision

    /** Record in the timeline that the bound of [host] is now [bound]. */
    data class BoundChanged(
        val host: HostId,
        val bound: Int,
        val cold: Boolean,
    ) : LedgerDecision
}
