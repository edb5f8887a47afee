/*
 * Admission's part of a daemon's decisions: the ledger, which counts while this daemon controls its failure domain, and
 * the account of what this daemon itself may send.
 */
package org.vanillalink.control.admission

import org.vanillalink.admission.AdmissionLedger
import org.vanillalink.admission.AdmissionSettings
import org.vanillalink.admission.EndEvidence
import org.vanillalink.admission.Holder
import org.vanillalink.admission.HolderDecision
import org.vanillalink.admission.HolderEvent
import org.vanillalink.admission.HolderState
import org.vanillalink.admission.LedgerDecision
import org.vanillalink.admission.LedgerEvent
import org.vanillalink.admission.LedgerState
import org.vanillalink.admission.LoanHolder
import org.vanillalink.configuration.ConfigurationDocument
import org.vanillalink.control.ControlStep
import org.vanillalink.control.DaemonDecision
import org.vanillalink.control.PartNews
import org.vanillalink.control.TimelineNotes
import org.vanillalink.membership.DaemonIdentity
import org.vanillalink.model.BootId
import org.vanillalink.model.FencingNumber
import org.vanillalink.model.HostId
import org.vanillalink.model.RequestId
import org.vanillalink.model.TargetReport
import org.vanillalink.routing.RouterEvent
import java.time.Duration
import java.time.Instant

/** Under what an attempt was admitted. */
internal data class Admission(
    val boot: BootId,
    val fencingNumber: FencingNumber,
)

/** Confined to the control thread. */
internal class AdmissionPart(
    private val identity: DaemonIdentity,
) {
    private val self = Holder(identity.daemon, identity.boot)
    private val runs = DomainRuns(identity)
    private val attempts = LocalAttempts()
    private val parties = UnitParties(self)
    private val changed get() = parties.changed
    private val account get() = parties.account
    private val ledgerState get() = parties.ledgerState
    private val accountState get() = parties.accountState
    private var targets: Map<HostId, LedgerEvent.TargetAdded> = emptyMap()
    private var ending = false

    fun configurationInForce(document: ConfigurationDocument) {
        val settings =
            AdmissionSettings(
                coldRequests = document.targets.coldRequests,
                coldTransitionDelay = Duration.ofMillis(document.targets.reportFreshMilliseconds),
            )
        parties.use(settings)
    }

    /** [serving] targets take requests now. One that did before stays known as long as its host [isListed]. */
    fun targetsKnown(
        serving: Map<HostId, LedgerEvent.TargetAdded>,
        isListed: (HostId) -> Boolean,
        reportOf: (HostId) -> TargetReport?,
        step: ControlStep,
    ) {
        val before = targets
        targets = before.filterKeys(isListed) + serving
        (before.keys - targets.keys).forEach { parties.tell(LedgerEvent.TargetRemoved(it), step) }
        targets.filter { (host, target) -> before[host] != target }.forEach { (host, target) ->
            parties.tell(target, step)
            if (host !in before) reportOf(host)?.let { reported(it, null, step) }
        }
    }

    /** A report that nobody asked for, from the target itself or from a peer. */
    fun reportKnown(
        report: TargetReport,
        step: ControlStep,
    ) {
        if (report.host in targets) reported(report, null, step)
    }

    /** [control] controls this failure domain, by what this daemon knows; [heldNumber] is set while it does itself. */
    fun controlKnown(
        control: DomainController?,
        heldNumber: FencingNumber?,
        step: ControlStep,
    ) {
        if (ledgerState.control != null &&
            ledgerState.control != heldNumber
        ) {
            parties.tell(LedgerEvent.ControlLost, step)
        }
        runs.held = heldNumber
        val known =
            accountState.owner != null && (control?.fencingNumber ?: FencingNumber.NONE) <= accountState.fencingNumber
        if (control == null || known) return
        parties.tell(HolderEvent.ControlChanged(control.daemon, control.fencingNumber), step)
        parties.markAll(targets.keys)
    }

    fun tick(step: ControlStep) {
        runs.due(ledgerState.control != null, step.now).forEach { parties.decide(it, step) }
        parties.tell(LedgerEvent.Tick, step)
        parties.tell(HolderEvent.Tick, step)
        parties.markAll(targets.keys)
    }

    fun handle(
        news: AdmissionNews,
        step: ControlStep,
    ) {
        when (news) {
            is AdmissionNews.ForOwner -> {
                parties.tell(LedgerEvent.MessageReceived(news.message), step)
            }

            is AdmissionNews.ForHolder -> {
                if (news.boot ==
                    self.boot
                ) {
                    parties.tell(HolderEvent.MessageReceived(news.message), step)
                }
            }

            is AdmissionNews.ReportAnswered -> {
                answered(news, step)
            }

            is AdmissionNews.RunsScanned -> {
                scanned(news, step)
            }

            is AdmissionNews.RunsWritten -> {
                news.answer.onRight { runs.register.written(news.writes, it) }
            }
        }
        parties.markAll(targets.keys)
        step.tell(PartNews.UnitsChanged)
    }

    /** [units] requests wait for room at [host], which is cold. */
    fun unitsWanted(
        host: HostId,
        units: Int,
        step: ControlStep,
    ) {
        val target = accountState.targets[host]
        val wanted = if (target == null || target.isWarm || target.freeUnits > 0) 0 else units
        val told = target?.demand ?: 0
        if (wanted > told || (wanted == 0 && told > 0)) parties.tell(HolderEvent.UnitDemandChanged(host, wanted), step)
    }

    /** Admits the router's attempt number [attempt] at [host] in [boot], or gives null where there is no unit. */
    fun admit(
        request: RequestId,
        attempt: Int,
        host: HostId,
        boot: BootId,
        step: ControlStep,
    ): Admission? {
        if (freeUnits(host, boot) == 0) return null
        val id = AttemptNames.of(request, attempt)
        attempts.started(id, LocalAttempt(request, attempt, host))
        if (account.isWarm(accountState, host)) {
            parties.tell(HolderEvent.WarmAttemptStarted(id, host), step)
            return Admission(boot, accountState.fencingNumber)
        }
        val decisions = parties.tell(HolderEvent.AttemptRequested(id, host), step)
        val admitted = decisions.filterIsInstance<HolderDecision.Admit>().firstOrNull()
        if (admitted == null) attempts.forget(id)
        return admitted?.let { Admission(it.boot, it.fencingNumber) }
    }

    /** Takes what [event] shows of an attempt's end; gives the host where it releases a slot, or null. */
    fun attemptNews(
        event: RouterEvent,
        step: ControlStep,
    ): HostId? = when (event) {
        is RouterEvent.AttemptFinished -> {
            ended(event.request, event.attempt, EndEvidence.COMPLETE_RESPONSE, step)
        }

        is RouterEvent.AttemptExecutionEnded -> {
            ended(event.request, event.attempt, EndEvidence.CANCEL_ACKNOWLEDGED, step)
        }

        is RouterEvent.AttemptFailed -> {
            if (event.executionEnded) {
                ended(event.request, event.attempt, evidenceOf(event), step)
            } else {
                attemptClosed(event.request, event.attempt, step)
                null
            }
        }

        else -> {
            null
        }
    }

    /** This daemon closed the attempt's connection, and nothing shows whether its work has ended. */
    fun attemptClosed(
        request: RequestId,
        attempt: Int,
        step: ControlStep,
    ) {
        val id = AttemptNames.of(request, attempt)
        val local = attempts[id]
        if (local == null) {
            step.tell(PartNews.ForRouter(RouterEvent.AttemptExecutionEnded(request, attempt)))
            return
        }
        parties.tell(HolderEvent.AttemptLost(id, local.host), step)
        changed.add(local.host)
    }

    /** Whether requests need no unit at [host] in [boot]. */
    fun isWarm(
        host: HostId,
        boot: BootId,
    ): Boolean = !ending && isPresent(host, boot) && account.isWarm(accountState, host)

    /** Attempts that this daemon may start at [host] in [boot] now; [Int.MAX_VALUE] where it needs no units. */
    fun freeUnits(
        host: HostId,
        boot: BootId,
    ): Int = when {
        isWarm(host, boot) -> Int.MAX_VALUE
        ending || !isPresent(host, boot) -> 0
        else -> account.freeUnits(accountState, host)
    }

    fun timeToCapacity(
        host: HostId,
        now: Instant,
    ): Duration = account.timeToCapacity(accountState, host, now)

    /** The hosts at which this daemon's units may have changed since this was last asked. */
    fun takeChanged(): Set<HostId> = changed.toSet().also { changed.clear() }

    /** This daemon's units at [host] have to be told again. */
    fun markChanged(host: HostId) {
        changed.add(host)
    }

    /** The process ends soon: nothing new is sent, and the run's row goes if no work of it is left. */
    fun end(step: ControlStep) {
        ending = true
        parties.markAll(targets.keys)
        if (attempts.isEmpty) runs.register.end()?.let { parties.decide(it, step) }
    }

    private fun isPresent(
        host: HostId,
        boot: BootId,
    ): Boolean = accountState.targets[host]?.boot == boot

    private fun ended(
        request: RequestId,
        attempt: Int,
        evidence: EndEvidence,
        step: ControlStep,
    ): HostId? {
        val id = AttemptNames.of(request, attempt)
        val local = attempts.forget(id) ?: return null
        parties.tell(HolderEvent.AttemptEnded(id, local.host, evidence), step)
        changed.add(local.host)
        return local.host
    }

    private fun evidenceOf(event: RouterEvent.AttemptFailed): EndEvidence =
        if (event.mayHaveRun) EndEvidence.COMPLETE_RESPONSE else EndEvidence.NOT_SENT

    private fun reported(
        report: TargetReport,
        question: Long?,
        step: ControlStep,
    ) {
        parties.tell(LedgerEvent.ReportReceived(report, question), step)
        parties.tell(HolderEvent.ReportReceived(report, question), step)
        settle(report.host, step)
    }

    private fun answered(
        news: AdmissionNews.ReportAnswered,
        step: ControlStep,
    ) {
        val report = news.report
        when (news.asker) {
            ReportAsker.OWNER -> parties.tell(LedgerEvent.ReportReceived(report, news.question), step)
            ReportAsker.HOLDER -> parties.tell(HolderEvent.ReportReceived(report, news.question), step)
        }
        settle(report.host, step)
    }

    /** Tells the router of attempts at [host] whose work the target showed to have ended. */
    private fun settle(
        host: HostId,
        step: ControlStep,
    ) {
        changed.add(host)
        val running = account.runningAttempts(accountState, host)
        attempts.takeEnded(host, running).forEach {
            step.tell(PartNews.ForRouter(RouterEvent.AttemptExecutionEnded(it.request, it.attempt)))
        }
    }

    private fun scanned(
        news: AdmissionNews.RunsScanned,
        step: ControlStep,
    ) {
        val rows = news.rows.getOrNull() ?: return
        if (news.scan == RunRegister.OWN_SCAN) runs.register.scanned(rows)?.let { parties.decide(it, step) }
        runs.ledgerEvents(news.scan, rows, news.control, ledgerState).forEach { parties.tell(it, step) }
    }
}
