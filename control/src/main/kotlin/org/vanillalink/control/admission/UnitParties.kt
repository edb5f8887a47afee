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
import org.vanillalink.control.ControlStep
import org.vanillalink.control.DaemonDecision
import org.vanillalink.control.PartNews
import org.vanillalink.control.TimelineNotes
import org.vanillalink.model.HostId

/** The parties in the run [self]; confined to the control thread. */
internal class UnitParties(
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
    val changed = HashSet<HostId>()

    fun use(settings: AdmissionSettings) {
        ledger = AdmissionLedger(settings)
        account = LoanHolder(settings)
    }

    fun markAll(hosts: Collection<HostId>) {
        changed.addAll(hosts)
    }

    fun tell(
        event: LedgerEvent,
        step: ControlStep,
    ) {
        val next = ledger.handle(ledgerState, event, step.now)
        ledgerState = next.state
        next.decisions.forEach { follow(it, step) }
    }

    fun tell(
        event: HolderEvent,
        step: ControlStep,
    ): List<HolderDecision> {
        val next = account.handle(accountState, event, step.now)
        accountState = next.state
        next.decisions.forEach { follow(it, step) }
        return next.decisions
    }

    private fun follow(
        decision: LedgerDecision,
        step: ControlStep,
    ) {
        when (decision) {
            is LedgerDecision.Send -> {
                send(decision, step)
            }

            is LedgerDecision.FetchReport -> {
                ask(decision.host, decision.fetchId, ReportAsker.OWNER, step)
            }

            is LedgerDecision.OrderFence -> {
                decide(
                    AdmissionWork.OrderFence(decision.host, decision.fencingNumber),
                    step,
                )
            }

            is LedgerDecision.ControlSuperseded -> {
                step.tell(PartNews.FencingNumberHeard(decision.fencingNumber))
            }

            is LedgerDecision.BoundChanged -> {
                step.decide(TimelineNotes.of(decision))
            }
        }
    }

    private fun send(
        decision: LedgerDecision.Send,
        step: ControlStep,
    ) {
        if (decision.holder != self) return decide(AdmissionWork.SendToHolder(decision.holder, decision.message), step)
        tell(HolderEvent.MessageReceived(decision.message), step)
        changed.addAll(accountState.targets.keys)
        step.tell(PartNews.UnitsChanged)
    }

    private fun follow(
        decision: HolderDecision,
        step: ControlStep,
    ) {
        when (decision) {
            is HolderDecision.Send -> {
                val local = decision.owner == self.daemon
                if (local) tell(LedgerEvent.MessageReceived(decision.message), step) else sendAway(decision, step)
            }

            is HolderDecision.FetchReport -> {
                ask(decision.host, decision.fetchId, ReportAsker.HOLDER, step)
            }

            is HolderDecision.Admit, is HolderDecision.Defer -> {
                Unit
            }
        }
    }

    private fun sendAway(
        decision: HolderDecision.Send,
        step: ControlStep,
    ) = decide(AdmissionWork.SendToOwner(decision.owner, decision.message), step)

    private fun ask(
        host: HostId,
        question: Long,
        asker: ReportAsker,
        step: ControlStep,
    ) = decide(AdmissionWork.AskReport(host, question, asker), step)

    fun decide(
        work: AdmissionWork,
        step: ControlStep,
    ) = step.decide(DaemonDecision.ForAdmission(work))
}
