/*
 * The admission that ships, in the model: the very ledger and account of each daemon, joined by unreliable links.
 */
package org.vanillalink.measure

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
import org.vanillalink.model.AttemptId
import org.vanillalink.model.BootId
import org.vanillalink.model.DaemonId
import org.vanillalink.model.FencingNumber
import org.vanillalink.model.TargetReport
import org.vanillalink.testing.Scenario
import org.vanillalink.testing.UnreliableLink
import java.time.Duration
import java.time.Instant

/** Drives [AdmissionLedger] and [LoanHolder] for [daemons]; the first of them controls at the start. */
internal class LentAdmission(
    private val scenario: Scenario,
    private val daemons: List<DaemonId>,
    targets: List<AdmissionTarget>,
    private val link: UnreliableLink<() -> Unit>,
    private val delay: () -> Duration,
) : AdmissionPolicy {
    private class Run(
        val holder: Holder,
        var ledger: LedgerState,
        var account: HolderState,
        var awakeAt: Instant,
    )

    private val settings = AdmissionSettings(coldRequests = AdmissionTarget.COLD_REQUESTS)
    private val ledger = AdmissionLedger(settings)
    private val account = LoanHolder(settings)
    private val targets = targets.associateBy { it.host }
    private val runs = mutableMapOf<DaemonId, Run>()
    private var controller = daemons.first()
    private var number = FencingNumber.NONE
    private var sent = 0
    private var boots = 0

    /** Messages between ledgers and accounts. */
    var messages = 0L
        private set

    init {
        daemons.forEach { start(it) }
        takeControl(controller)
    }

    override fun request(
        daemon: DaemonId,
        target: AdmissionTarget,
    ) {
        val run = runs.getValue(daemon)
        if (scenario.now < run.awakeAt) return
        feed(run, HolderEvent.AttemptRequested(AttemptId("l${sent++}"), target.host))
    }

    override fun reported(report: TargetReport) = runs.values.toList().forEach { run ->
        link.send {
            feed(run, LedgerEvent.ReportReceived(report))
            feed(run, HolderEvent.ReportReceived(report))
        }
    }

    override fun restart(daemon: DaemonId) {
        val ended = runs.getValue(daemon).holder
        start(daemon)
        if (daemon == controller) takeControl(daemons[(daemons.indexOf(daemon) + 1) % daemons.size])
        feed(runs.getValue(controller), LedgerEvent.HoldersRegistered(holders()))
        feed(runs.getValue(controller), LedgerEvent.DaemonEnded(ended))
        tellControl()
    }

    override fun pause(
        daemon: DaemonId,
        duration: Duration,
    ) {
        runs.getValue(daemon).awakeAt = scenario.now.plus(duration)
    }

    override fun tick() = runs.values.toList().forEach { run ->
        feed(run, LedgerEvent.Tick)
        feed(run, HolderEvent.Tick)
    }

    private fun holders(): Set<Holder> = runs.values.mapTo(mutableSetOf()) { it.holder }

    private fun start(daemon: DaemonId) {
        val holder = Holder(daemon, BootId("$daemon-${boots++}"))
        val run = Run(holder, LedgerState(daemon), HolderState(holder), scenario.now)
        runs[daemon] = run
        targets.values.forEach {
            feed(run, LedgerEvent.TargetAdded(it.host, it.checks, AdmissionTarget.WARM_REQUESTS))
        }
    }

    private fun takeControl(daemon: DaemonId) {
        controller = daemon
        number = number.next()
        feed(runs.getValue(daemon), LedgerEvent.ControlGained(number, holders()))
        tellControl()
    }

    private fun tellControl() = runs.values.forEach { run -> feed(run, HolderEvent.ControlChanged(controller, number)) }

    /** A paused run finds what came meanwhile when it wakes; an ended one finds nothing. */
    private fun feed(
        run: Run,
        event: Any,
    ) {
        if (runs[run.holder.daemon] !== run) return
        if (scenario.now < run.awakeAt) {
            scenario.after(Duration.between(scenario.now, run.awakeAt)) { feed(run, event) }
            return
        }
        val decisions =
            when (event) {
                is LedgerEvent -> {
                    ledger
                        .handle(
                            run.ledger,
                            event,
                            scenario.now,
                        ).also { run.ledger = it.state }
                        .decisions
                }

                is HolderEvent -> {
                    account
                        .handle(
                            run.account,
                            event,
                            scenario.now,
                        ).also { run.account = it.state }
                        .decisions
                }

                else -> {
                    error("not an event: $event")
                }
            }
        decisions.forEach { carryOut(run, it) }
    }

    private fun carryOut(
        run: Run,
        decision: Any,
    ) {
        when (decision) {
            is LedgerDecision.Send -> sendTo(decision.holder.daemon, HolderEvent.MessageReceived(decision.message))
            is HolderDecision.Send -> sendTo(decision.owner, LedgerEvent.MessageReceived(decision.message))
            is LedgerDecision.FetchReport -> answer(run, decision)
            is HolderDecision.FetchReport -> answer(run, decision)
            is LedgerDecision.OrderFence -> link.send { targets.getValue(decision.host).fence(decision.fencingNumber) }
            is HolderDecision.Admit -> send(run, decision)
        }
    }

    private fun sendTo(
        daemon: DaemonId,
        event: Any,
    ) {
        messages++
        link.send { feed(runs.getValue(daemon), event) }
    }

    private fun answer(
        run: Run,
        decision: LedgerDecision.FetchReport,
    ) = link.send {
        val report = targets.getValue(decision.host).report()
        link.send { feed(run, LedgerEvent.ReportReceived(report, decision.fetchId)) }
    }

    private fun answer(
        run: Run,
        decision: HolderDecision.FetchReport,
    ) = link.send {
        val report = targets.getValue(decision.host).report()
        link.send { feed(run, HolderEvent.ReportReceived(report, decision.fetchId)) }
    }

    private fun send(
        run: Run,
        admitted: HolderDecision.Admit,
    ) = scenario.after(delay()) {
        if (runs[run.holder.daemon] !== run) return@after
        targets.getValue(admitted.target).run(admitted.attempt, admitted.boot, admitted.fencingNumber) { end ->
            feed(run, ended(admitted, end))
        }
    }

    private fun ended(
        admitted: HolderDecision.Admit,
        end: AttemptEnd,
    ): HolderEvent = when (end) {
        AttemptEnd.ANSWERED -> evident(admitted, EndEvidence.COMPLETE_RESPONSE)
        AttemptEnd.REFUSED -> evident(admitted, EndEvidence.REFUSED_BY_TARGET)
        AttemptEnd.CONNECTION_BROKEN -> HolderEvent.AttemptLost(admitted.attempt, admitted.target)
    }

    private fun evident(
        admitted: HolderDecision.Admit,
        evidence: EndEvidence,
    ) = HolderEvent.AttemptEnded(admitted.attempt, admitted.target, evidence)
}
