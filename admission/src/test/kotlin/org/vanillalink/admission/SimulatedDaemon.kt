/*
 * A simulated daemon: a loan holder and a ledger that receive events in one order; it can be paused and killed.
 */
package org.vanillalink.admission

import org.vanillalink.model.BootId
import org.vanillalink.model.DaemonId
import org.vanillalink.model.HostId
import org.vanillalink.model.TargetReport
import java.time.Instant

internal class SimulatedDaemon(
    val id: DaemonId,
    boots: Int,
    settings: AdmissionSettings,
    private val executeDecision: (SimulatedDaemon, Any) -> Unit,
) {
    val holder = Holder(id, BootId("$id-$boots"))
    private val ledger = AdmissionLedger(settings)
    private val loanHolder = LoanHolder(settings)
    private val inbox = ArrayDeque<Any>()

    var ledgerState = LedgerState(id)
        private set
    var holderState = HolderState(holder)
        private set
    var isPaused = false
        private set
    var isDead = false

    /** The latest transition to cold of each target of which this process instance has a report. */
    val knownTurns = mutableMapOf<HostId, Int>()

    /** The latest transition of each target that this instance's reports show: another boot, or a smaller bound. */
    val reportedTurns = mutableMapOf<HostId, Int>()
    private val latest = mutableMapOf<HostId, TargetReport>()

    fun feed(
        event: Any,
        now: Instant,
    ) {
        if (isDead) return
        if (isPaused) inbox.add(event) else handle(event, now)
    }

    fun pause() {
        isPaused = true
    }

    fun wake(now: Instant) {
        isPaused = false
        while (inbox.isNotEmpty()) handle(inbox.removeFirst(), now)
    }

    private fun handle(
        event: Any,
        now: Instant,
    ) {
        val decisions =
            when (event) {
                is ReportDelivered -> deliverReport(event, now)
                is LedgerEvent -> toLedger(event, now)
                is HolderEvent -> toHolder(event, now)
                else -> error("unknown event $event")
            }
        decisions.forEach { executeDecision(this, it) }
    }

    private fun deliverReport(
        event: ReportDelivered,
        now: Instant,
    ): List<Any> {
        val host = event.report.host
        knownTurns.merge(host, event.turns, ::maxOf)
        recordTurn(event)
        val forLedger = LedgerEvent.ReportReceived(event.report, event.fetchId.takeIf { event.forLedger })
        val forHolder = HolderEvent.ReportReceived(event.report, event.fetchId.takeUnless { event.forLedger })
        return toLedger(forLedger, now) + toHolder(forHolder, now)
    }

    private fun recordTurn(event: ReportDelivered) {
        val report = event.report
        val before = latest[report.host]
        if (before?.boot == report.boot && report.sequence < before.sequence) return
        latest[report.host] = report
        if (before == null) return
        val bearsLess = checkNotNull(report.bearableRequests) < checkNotNull(before.bearableRequests)
        if (before.boot != report.boot || bearsLess) reportedTurns.merge(report.host, event.turns, ::maxOf)
    }

    private fun toLedger(
        event: LedgerEvent,
        now: Instant,
    ): List<Any> = ledger.handle(ledgerState, event, now).also { ledgerState = it.state }.decisions

    private fun toHolder(
        event: HolderEvent,
        now: Instant,
    ): List<Any> = loanHolder.handle(holderState, event, now).also { holderState = it.state }.decisions
}

/** A report that reaches a daemon; [turns] is the simulation's own count of the target's transitions to cold. */
internal data class ReportDelivered(
    val report: TargetReport,
    val turns: Int,
    val fetchId: Long? = null,
    val forLedger: Boolean = false,
)
