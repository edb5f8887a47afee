/*
 * One daemon of the small model: an account and a ledger, fed in one order, which can be paused and killed.
 */
package org.vanillalink.admission

import org.vanillalink.model.BootId
import org.vanillalink.model.DaemonId
import org.vanillalink.model.HostId
import org.vanillalink.model.TargetReport
import java.time.Instant

internal class SmallDaemon(
    val id: DaemonId,
    boots: Int,
    settings: AdmissionSettings,
    private val carryOut: (SmallDaemon, Any) -> Unit,
) {
    val holder = Holder(id, BootId("$id-$boots"))
    private val ledger = AdmissionLedger(settings)
    private val account = LoanHolder(settings)
    private val inbox = ArrayDeque<Any>()

    var ledgerState = LedgerState(id)
        private set
    var accountState = HolderState(holder)
        private set
    var paused = false
        private set
    var dead = false

    /** The latest turn of each target of which this run has a report. */
    val turnsKnown = mutableMapOf<HostId, Int>()

    /** The latest turn of each target that this run's reports show: another boot, or a smaller bound than before. */
    val turnsShown = mutableMapOf<HostId, Int>()
    private val latest = mutableMapOf<HostId, TargetReport>()

    fun feed(
        event: Any,
        now: Instant,
    ) {
        if (dead) return
        if (paused) inbox.add(event) else handle(event, now)
    }

    fun pause() {
        paused = true
    }

    fun wake(now: Instant) {
        paused = false
        while (inbox.isNotEmpty()) handle(inbox.removeFirst(), now)
    }

    private fun handle(
        event: Any,
        now: Instant,
    ) {
        val decisions =
            when (event) {
                is ReportSeen -> see(event, now)
                is LedgerEvent -> toLedger(event, now)
                is HolderEvent -> toAccount(event, now)
                else -> error("unknown event $event")
            }
        decisions.forEach { carryOut(this, it) }
    }

    private fun see(
        event: ReportSeen,
        now: Instant,
    ): List<Any> {
        val host = event.report.host
        turnsKnown.merge(host, event.turns, ::maxOf)
        noteTurn(event)
        val forLedger = LedgerEvent.ReportReceived(event.report, event.fetchId.takeIf { event.forLedger })
        val forAccount = HolderEvent.ReportReceived(event.report, event.fetchId.takeUnless { event.forLedger })
        return toLedger(forLedger, now) + toAccount(forAccount, now)
    }

    private fun noteTurn(event: ReportSeen) {
        val report = event.report
        val before = latest[report.host]
        if (before?.boot == report.boot && report.sequence < before.sequence) return
        latest[report.host] = report
        if (before == null) return
        val bearsLess = checkNotNull(report.bearableRequests) < checkNotNull(before.bearableRequests)
        if (before.boot != report.boot || bearsLess) turnsShown.merge(report.host, event.turns, ::maxOf)
    }

    private fun toLedger(
        event: LedgerEvent,
        now: Instant,
    ): List<Any> = ledger.handle(ledgerState, event, now).also { ledgerState = it.state }.decisions

    private fun toAccount(
        event: HolderEvent,
        now: Instant,
    ): List<Any> = account.handle(accountState, event, now).also { accountState = it.state }.decisions
}

/** A report that reaches a daemon; [turns] is the model's own count of how often the target turned cold. */
internal data class ReportSeen(
    val report: TargetReport,
    val turns: Int,
    val fetchId: Long? = null,
    val forLedger: Boolean = false,
)
