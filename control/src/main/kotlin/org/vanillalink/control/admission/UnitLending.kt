/*
 * The two parties of lending as they are in each daemon, with their messages to each other and to other daemons: the
 * ledger, which counts while this daemon controls its failure domain, and the account of what it may send itself.
 */
package org.vanillalink.control.admission

import org.vanillalink.admission.AdmissionLedger
import org.vanillalink.admission.AdmissionSettings
import org.vanillalink.admission.Holder
import org.vanillalink.admission.HolderDecision
import org.vanillalink.admission.HolderEvent
import org.vanillalink.admission.HolderState
import org.vanillalink.admission.LedgerDecision
import org.vanillalink.admission.LedgerEvent
import org.vanillalink.admission.LedgerState
import org.vanillalink.admission.LoanHolder
import org.vanillalink.control.DaemonDecision
import org.vanillalink.control.LocalEvent
import org.vanillalink.control.ProcessingStep
import org.vanillalink.control.TimelineRecords
import org.vanillalink.model.HostId

/** The parties in the run [self]; confined to the control thread. */
internal class UnitLending(
    private val self: Holder,
) {
    private var ledger = AdmissionLedger(AdmissionSettings())

    var account = LoanHolder(AdmissionSettings())
        private set

    var ledgerState = LedgerState(self.daemon)
        private set

    var accountState = HolderState(self)
        private set

    /** The hosts at which this daemon's units may have changed since the router was told. */
    val changedHosts = HashSet<HostId>()

    fun applySettings(settings: AdmissionSettings) {
        ledger = AdmissionLedger(settings)
        account = LoanHolder(settings)
    }

    fun markAllChanged(hosts: Collection<HostId>) {
        changedHosts.addAll(hosts)
    }

    fun handle(
        event: LedgerEvent,
        step: ProcessingStep,
    ) {
        val next = ledger.handle(ledgerState, event, step.now)
        ledgerState = next.state
        next.decisions.forEach { execute(it, step) }
    }

    fun handle(
        event: HolderEvent,
        step: ProcessingStep,
    ): List<HolderDecision> {
        val next = account.handle(accountState, event, step.now)
        accountState = next.state
        next.decisions.forEach { execute(it, step) }
        return next.decisions
    }

    private fun execute(
        decision: LedgerDecision,
        step: ProcessingStep,
    ) {
        when (decision) {
            is LedgerDecision.Send -> {
                send(decision, step)
            }

            is LedgerDecision.FetchReport -> {
                requestReport(decision.host, decision.fetchId, ReportRequester.OWNER, step)
            }

            is LedgerDecision.OrderFence -> {
                emit(
                    AdmissionTask.OrderFence(decision.host, decision.fencingNumber),
                    step,
                )
            }

            is LedgerDecision.ControlSuperseded -> {
                step.publish(LocalEvent.FencingNumberReceived(decision.fencingNumber))
            }

            is LedgerDecision.BoundChanged -> {
                step.addDecision(TimelineRecords.from(decision))
            }
        }
    }

    private fun send(
        decision: LedgerDecision.Send,
        step: ProcessingStep,
    ) {
        if (decision.holder != self) return emit(AdmissionTask.SendToHolder(decision.holder, decision.message), step)
        handle(HolderEvent.MessageReceived(decision.message), step)
        changedHosts.addAll(accountState.targets.keys)
        step.publish(LocalEvent.UnitsChanged)
    }

    private fun execute(
        decision: HolderDecision,
        step: ProcessingStep,
    ) {
        when (decision) {
            is HolderDecision.Send -> {
                val isLocal = decision.owner == self.daemon
                if (isLocal) handle(LedgerEvent.MessageReceived(decision.message), step) else sendRemote(decision, step)
            }

            is HolderDecision.FetchReport -> {
                requestReport(decision.host, decision.fetchId, ReportRequester.HOLDER, step)
            }

            is HolderDecision.Admit, is HolderDecision.Defer -> {
                Unit
            }
        }
    }

    private fun sendRemote(
        decision: HolderDecision.Send,
        step: ProcessingStep,
    ) = emit(AdmissionTask.SendToOwner(decision.owner, decision.message), step)

    private fun requestReport(
        host: HostId,
        queryNumber: Long,
        requester: ReportRequester,
        step: ProcessingStep,
    ) = emit(AdmissionTask.RequestReport(host, queryNumber, requester), step)

    fun emit(
        task: AdmissionTask,
        step: ProcessingStep,
    ) = step.addDecision(DaemonDecision.ForAdmission(task))
}
