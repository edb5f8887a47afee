/*
 * What the ledger is told and what it decides.
 */
package org.vanillalink.admission

import org.vanillalink.model.BootId
import org.vanillalink.model.FencingNumber
import org.vanillalink.model.HostId
import org.vanillalink.model.TargetReport

/** An event for [AdmissionLedger]. */
sealed interface LedgerEvent {
    /** This daemon now controls the domain. [holders] are all runs of daemons that the table named at that write. */
    data class ControlGained(
        val fencingNumber: FencingNumber,
        val holders: Set<Holder>,
    ) : LedgerEvent

    /** Another daemon controls the domain, or this one gave up. */
    data object ControlLost : LedgerEvent

    /** The table names [holders], and its control row still names this daemon. */
    data class HoldersRegistered(
        val holders: Set<Holder>,
    ) : LedgerEvent

    /** [host] takes requests; [warmRequests] is its bound when warm. */
    data class TargetAdded(
        val host: HostId,
        val checksFencing: Boolean,
        val warmRequests: Int,
    ) : LedgerEvent

    /** [host] no longer takes requests. */
    data class TargetRemoved(
        val host: HostId,
    ) : LedgerEvent

    /** A report; [fetchId] is the number in [LedgerDecision.FetchReport] if it answers one, null if passed on. */
    data class ReportReceived(
        val report: TargetReport,
        val fetchId: Long? = null,
    ) : LedgerEvent

    /** Requests at [host] are as slow as on a cold target. */
    data class SlownessDetected(
        val host: HostId,
        val boot: BootId,
    ) : LedgerEvent

    /** [message] arrived. */
    data class MessageReceived(
        val message: MessageToOwner,
    ) : LedgerEvent

    /** The process of [holder] has certainly ended and its connections are closed. */
    data class DaemonEnded(
        val holder: Holder,
    ) : LedgerEvent

    /** Time has passed. */
    data object Tick : LedgerEvent
}

/** What [AdmissionLedger] wants done. */
sealed interface LedgerDecision {
    /** Send [message] to [holder], which may be this daemon itself. */
    data class Send(
        val holder: Holder,
        val message: MessageToHolder,
    ) : LedgerDecision

    /** Ask [host] itself for a report now, and feed the answer with [fetchId]. */
    data class FetchReport(
        val host: HostId,
        val fetchId: Long,
    ) : LedgerDecision

    /** Order [host] to take [fencingNumber]. */
    data class OrderFence(
        val host: HostId,
        val fencingNumber: FencingNumber,
    ) : LedgerDecision

    /** A target or a daemon knows the greater [fencingNumber]: this daemon doesn't control the domain. */
    data class ControlSuperseded(
        val fencingNumber: FencingNumber,
    ) : LedgerDecision

    /** For the time line: the bound of [host] is now [bound]. */
    data class BoundChanged(
        val host: HostId,
        val bound: Int,
        val cold: Boolean,
    ) : LedgerDecision
}
