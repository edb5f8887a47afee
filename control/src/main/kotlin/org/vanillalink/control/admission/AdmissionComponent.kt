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
import org.vanillalink.control.DaemonDecision
import org.vanillalink.control.LocalEvent
import org.vanillalink.control.ProcessingStep
import org.vanillalink.control.TimelineRecords
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
internal class AdmissionComponent(
    private val identity: DaemonIdentity,
) {
    private val self = Holder(identity.daemon, identity.boot)
    private val instances = InstanceTracker(identity)
    private val attempts = LocalAttempts()
    private val lending = UnitLending(self)
    private val changedHosts get() = lending.changedHosts
    private val account get() = lending.account
    private val ledgerState get() = lending.ledgerState
    private val accountState get() = lending.accountState
    private var targets: Map<HostId, LedgerEvent.TargetAdded> = emptyMap()
    private var isShuttingDown = false

    fun applyConfiguration(document: ConfigurationDocument) {
        val settings =
            AdmissionSettings(
                coldRequests = document.targets.coldRequests,
                coldTransitionDelay = Duration.ofMillis(document.targets.reportFreshMilliseconds),
            )
        lending.applySettings(settings)
    }

    /** [serving] targets take requests now. One that did before stays known as long as its host [isListed]. */
    fun updateTargets(
        serving: Map<HostId, LedgerEvent.TargetAdded>,
        isListed: (HostId) -> Boolean,
        latestReport: (HostId) -> TargetReport?,
        step: ProcessingStep,
    ) {
        val previousTargets = targets
        targets = previousTargets.filterKeys(isListed) + serving
        (previousTargets.keys - targets.keys).forEach { lending.handle(LedgerEvent.TargetRemoved(it), step) }
        targets.filter { (host, target) -> previousTargets[host] != target }.forEach { (host, target) ->
            lending.handle(target, step)
            if (host !in previousTargets) latestReport(host)?.let { recordReport(it, null, step) }
        }
    }

    /** A report that nobody asked for, from the target itself or from a peer. */
    fun reportUpdated(
        report: TargetReport,
        step: ProcessingStep,
    ) {
        if (report.host in targets) recordReport(report, null, step)
    }

    /** [control] controls this failure domain, by what this daemon knows; [heldNumber] is set while it does itself. */
    fun updateControl(
        control: DomainController?,
        heldNumber: FencingNumber?,
        step: ProcessingStep,
    ) {
        if (ledgerState.control != null &&
            ledgerState.control != heldNumber
        ) {
            lending.handle(LedgerEvent.ControlLost, step)
        }
        instances.heldNumber = heldNumber
        val isCurrentControl =
            accountState.owner != null && (control?.fencingNumber ?: FencingNumber.NONE) <= accountState.fencingNumber
        if (control == null || isCurrentControl) return
        lending.handle(HolderEvent.ControlChanged(control.daemon, control.fencingNumber), step)
        lending.markAllChanged(targets.keys)
    }

    fun tick(step: ProcessingStep) {
        instances.due(ledgerState.control != null, step.now).forEach { lending.emit(it, step) }
        lending.handle(LedgerEvent.Tick, step)
        lending.handle(HolderEvent.Tick, step)
        lending.markAllChanged(targets.keys)
    }

    fun handle(
        input: AdmissionInput,
        step: ProcessingStep,
    ) {
        when (input) {
            is AdmissionInput.MessageForOwner -> {
                lending.handle(LedgerEvent.MessageReceived(input.message), step)
            }

            is AdmissionInput.MessageForHolder -> {
                if (input.boot ==
                    self.boot
                ) {
                    lending.handle(HolderEvent.MessageReceived(input.message), step)
                }
            }

            is AdmissionInput.ReportAnswered -> {
                reportAnswered(input, step)
            }

            is AdmissionInput.InstancesScanned -> {
                instancesScanned(input, step)
            }

            is AdmissionInput.InstancesWritten -> {
                input.result.onRight { instances.register.written(input.writes, it) }
            }
        }
        lending.markAllChanged(targets.keys)
        step.publish(LocalEvent.UnitsChanged)
    }

    /** [units] requests wait for room at [host], which is cold. */
    fun requestUnits(
        host: HostId,
        units: Int,
        step: ProcessingStep,
    ) {
        val target = accountState.targets[host]
        val need = if (target == null || target.isWarm || target.freeUnits > 0) 0 else units
        val sent = target?.demand ?: 0
        if (need > sent || (need == 0 && sent > 0)) lending.handle(HolderEvent.UnitDemandChanged(host, need), step)
    }

    /** Admits the router's attempt number [attempt] at [host] in [boot], or gives null where there is no unit. */
    fun admit(
        request: RequestId,
        attempt: Int,
        host: HostId,
        boot: BootId,
        step: ProcessingStep,
    ): Admission? {
        if (freeUnits(host, boot) == 0) return null
        val id = AttemptIds.create(request, attempt)
        attempts.add(id, LocalAttempt(request, attempt, host))
        if (account.isWarm(accountState, host)) {
            lending.handle(HolderEvent.WarmAttemptStarted(id, host), step)
            return Admission(boot, accountState.fencingNumber)
        }
        val decisions = lending.handle(HolderEvent.AttemptRequested(id, host), step)
        val admission = decisions.filterIsInstance<HolderDecision.Admit>().firstOrNull()
        if (admission == null) attempts.remove(id)
        return admission?.let { Admission(it.boot, it.fencingNumber) }
    }

    /** Takes what [event] shows of an attempt's end; gives the host where it releases a slot, or null. */
    fun recordAttemptEvent(
        event: RouterEvent,
        step: ProcessingStep,
    ): HostId? = when (event) {
        is RouterEvent.AttemptFinished -> {
            attemptEnded(event.request, event.attempt, EndEvidence.COMPLETE_RESPONSE, step)
        }

        is RouterEvent.AttemptExecutionEnded -> {
            attemptEnded(event.request, event.attempt, EndEvidence.CANCEL_ACKNOWLEDGED, step)
        }

        is RouterEvent.AttemptFailed -> {
            if (event.executionEnded) {
                attemptEnded(event.request, event.attempt, endEvidence(event), step)
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
        step: ProcessingStep,
    ) {
        val id = AttemptIds.create(request, attempt)
        val localAttempt = attempts[id]
        if (localAttempt == null) {
            step.publish(LocalEvent.ForRouter(RouterEvent.AttemptExecutionEnded(request, attempt)))
            return
        }
        lending.handle(HolderEvent.AttemptLost(id, localAttempt.host), step)
        changedHosts.add(localAttempt.host)
    }

    /** Whether requests need no unit at [host] in [boot]. */
    fun isWarm(
        host: HostId,
        boot: BootId,
    ): Boolean = !isShuttingDown && isPresent(host, boot) && account.isWarm(accountState, host)

    /** Attempts that this daemon may start at [host] in [boot] now; [Int.MAX_VALUE] where it needs no units. */
    fun freeUnits(
        host: HostId,
        boot: BootId,
    ): Int = when {
        isWarm(host, boot) -> Int.MAX_VALUE
        isShuttingDown || !isPresent(host, boot) -> 0
        else -> account.freeUnits(accountState, host)
    }

    fun timeToCapacity(
        host: HostId,
        now: Instant,
    ): Duration = account.timeToCapacity(accountState, host, now)

    /** The hosts at which this daemon's units may have changed since this was last asked. */
    fun takeChanged(): Set<HostId> = changedHosts.toSet().also { changedHosts.clear() }

    /** This daemon's units at [host] have to be told again. */
    fun markChanged(host: HostId) {
        changedHosts.add(host)
    }

    /** The process ends soon: nothing new is sent, and the run's row goes if no work of it is left. */
    fun end(step: ProcessingStep) {
        isShuttingDown = true
        lending.markAllChanged(targets.keys)
        if (attempts.isEmpty) instances.register.end()?.let { lending.emit(it, step) }
    }

    private fun isPresent(
        host: HostId,
        boot: BootId,
    ): Boolean = accountState.targets[host]?.boot == boot

    private fun attemptEnded(
        request: RequestId,
        attempt: Int,
        evidence: EndEvidence,
        step: ProcessingStep,
    ): HostId? {
        val id = AttemptIds.create(request, attempt)
        val localAttempt = attempts.remove(id) ?: return null
        lending.handle(HolderEvent.AttemptEnded(id, localAttempt.host, evidence), step)
        changedHosts.add(localAttempt.host)
        return localAttempt.host
    }

    private fun endEvidence(event: RouterEvent.AttemptFailed): EndEvidence =
        if (event.mayHaveRun) EndEvidence.COMPLETE_RESPONSE else EndEvidence.NOT_SENT

    private fun recordReport(
        report: TargetReport,
        queryNumber: Long?,
        step: ProcessingStep,
    ) {
        lending.handle(LedgerEvent.ReportReceived(report, queryNumber), step)
        lending.handle(HolderEvent.ReportReceived(report, queryNumber), step)
        settleEndedAttempts(report.host, step)
    }

    private fun reportAnswered(
        input: AdmissionInput.ReportAnswered,
        step: ProcessingStep,
    ) {
        val report = input.report
        when (input.requester) {
            ReportRequester.OWNER -> lending.handle(LedgerEvent.ReportReceived(report, input.queryNumber), step)
            ReportRequester.HOLDER -> lending.handle(HolderEvent.ReportReceived(report, input.queryNumber), step)
        }
        settleEndedAttempts(report.host, step)
    }

    /** Tells the router of attempts at [host] whose work the target showed to have ended. */
    private fun settleEndedAttempts(
        host: HostId,
        step: ProcessingStep,
    ) {
        changedHosts.add(host)
        val running = account.runningAttempts(accountState, host)
        attempts.removeEnded(host, running).forEach {
            step.publish(LocalEvent.ForRouter(RouterEvent.AttemptExecutionEnded(it.request, it.attempt)))
        }
    }

    private fun instancesScanned(
        input: AdmissionInput.InstancesScanned,
        step: ProcessingStep,
    ) {
        val rows = input.rows.getOrNull() ?: return
        if (input.scan == InstanceRegister.OWN_SCAN) instances.register.scanned(rows)?.let { lending.emit(it, step) }
        instances.ledgerEvents(input.scan, rows, input.controlRow, ledgerState).forEach { lending.handle(it, step) }
    }
}
