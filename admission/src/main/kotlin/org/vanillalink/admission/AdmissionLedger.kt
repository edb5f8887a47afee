/*
 * The controller's side of admission: it owns all units of its domain's targets and lends them, also to its own daemon.
 *
 * A lent unit counts as in use until its holder returns it, or until the holder's process has ended and a report of the
 * target shows which of its attempts still run. The expiry of a loan only makes the ledger recall it.
 */
package org.vanillalink.admission

import org.vanillalink.model.Aggregate
import org.vanillalink.model.FencingNumber
import org.vanillalink.model.HostId
import org.vanillalink.model.TargetReport
import org.vanillalink.model.Transition
import java.time.Duration
import java.time.Instant

/** Decides which holders may use the units of a failure domain. */
class AdmissionLedger(
    private val settings: AdmissionSettings,
) : Aggregate<LedgerState, LedgerEvent, LedgerDecision> {
    private val rules = TargetRules(settings)
    private val loanIssuer = LoanIssuer(settings, rules)

    override fun handle(
        state: LedgerState,
        event: LedgerEvent,
        now: Instant,
    ): Transition<LedgerState, LedgerDecision> = when (event) {
        is LedgerEvent.ControlGained -> gainControl(state, event)
        LedgerEvent.ControlLost -> Transition(withoutControl(state))
        is LedgerEvent.HoldersRegistered -> Transition(state.copy(registeredHolders = event.holders))
        is LedgerEvent.TargetAdded -> addTarget(state, event)
        is LedgerEvent.TargetRemoved -> removeTarget(state, event.host, now)
        is LedgerEvent.ReportReceived -> applyReport(state, event, now)
        is LedgerEvent.SlownessDetected -> applySlowness(state, event, now)
        is LedgerEvent.MessageReceived -> applyMessage(state, event.message, now)
        is LedgerEvent.DaemonEnded -> endHolder(state, event.holder)
        LedgerEvent.Tick -> tick(state, now)
    }

    /** Units of [host] that may be lent now. */
    fun freeUnits(
        state: LedgerState,
        host: HostId,
    ): Int = loanIssuer.freeUnits(state, host)

    /** Estimates how long it takes until [host] has capacity for one more request than its current bound. */
    fun timeToCapacity(
        state: LedgerState,
        host: HostId,
        now: Instant,
    ): Duration = loanIssuer.timeToCapacity(state, host, now)

    private fun gainControl(
        state: LedgerState,
        event: LedgerEvent.ControlGained,
    ): Transition<LedgerState, LedgerDecision> {
        val cleared = withoutControl(state)
        val gained =
            cleared.copy(
                control = event.fencingNumber,
                registeredHolders = event.holders,
                predecessors = event.holders,
            )
        return Transition(gained, gained.targets.values.flatMap { fenceAndFetch(gained, it) })
    }

    private fun withoutControl(state: LedgerState): LedgerState = state.copy(
        control = null,
        endedHolders = emptySet(),
        predecessors = emptySet(),
        declaredHoldings = emptyMap(),
        targets = state.targets.mapValues { (_, target) -> forgetLoans(target) },
    )

    private fun forgetLoans(target: TargetLedger): TargetLedger {
        val fetchId = target.fetchId + 1
        return target.copy(
            isFenced = false,
            loans = emptyMap(),
            ended = listOf(EndedUnits(limit = null, fetchId = fetchId)),
            fetchId = fetchId,
        )
    }

    private fun addTarget(
        state: LedgerState,
        event: LedgerEvent.TargetAdded,
    ): Transition<LedgerState, LedgerDecision> {
        val existing = state.targets[event.host]
        val target = existing?.copy(warmRequests = event.warmRequests, isRemoved = false) ?: rules.createTarget(event)
        return Transition(state.with(target), fenceAndFetch(state, target))
    }

    private fun applyReport(
        state: LedgerState,
        event: LedgerEvent.ReportReceived,
        now: Instant,
    ): Transition<LedgerState, LedgerDecision> {
        val target = state.targets[event.report.host] ?: return Transition(state)
        val control = state.control
        if (control != null && event.report.highestFencingNumber > control) return superseded(state, event.report)
        val next =
            rules.awaitAttemptsWithoutUnit(
                target,
                rules.applyReport(target, event.report, event.fetchId, control),
                now,
            )
        val orders = if (next.fetchId != target.fetchId || lacksFence(next)) fenceAndFetch(state, next) else emptyList()
        val decisions = orders + boundChange(target, next)
        if (!hasShrunk(target, next)) return Transition(state.with(next), decisions)
        return recall(state.with(next), next, now, next.loans.keys, decisions)
    }

    private fun applySlowness(
        state: LedgerState,
        event: LedgerEvent.SlownessDetected,
        now: Instant,
    ): Transition<LedgerState, LedgerDecision> {
        val target = state.targets[event.host]?.takeIf { it.boot == event.boot } ?: return Transition(state)
        val next = rules.awaitAttemptsWithoutUnit(target, rules.markCold(target), now)
        if (next == target) return Transition(state)
        return recall(state.with(next), next, now, next.loans.keys, boundChange(target, next))
    }

    private fun superseded(
        state: LedgerState,
        report: TargetReport,
    ): Transition<LedgerState, LedgerDecision> =
        Transition(withoutControl(state), listOf(LedgerDecision.ControlSuperseded(report.highestFencingNumber)))

    private fun applyMessage(
        state: LedgerState,
        message: MessageToOwner,
        now: Instant,
    ): Transition<LedgerState, LedgerDecision> {
        val control = state.control ?: return Transition(state)
        if (message.fencingNumber > control) {
            return Transition(
                withoutControl(state),
                listOf(LedgerDecision.ControlSuperseded(message.fencingNumber)),
            )
        }
        if (message.fencingNumber < control) return Transition(state)
        return when (message) {
            is MessageToOwner.Borrow -> loanIssuer.issueLoan(state, message, control, now)
            is MessageToOwner.Return -> loanIssuer.applyReturn(state, message, control)
            is MessageToOwner.Holdings -> loanIssuer.recordHoldings(state, message, control)
        }
    }

    private fun endHolder(
        state: LedgerState,
        holder: Holder,
    ): Transition<LedgerState, LedgerDecision> {
        val targets =
            state.targets.mapValues { (host, target) ->
                rules.endHolder(target, holder, predecessorUnits(state, holder, host))
            }
        val next =
            state.copy(
                targets = targets,
                predecessors = state.predecessors - holder,
                declaredHoldings = state.declaredHoldings - holder,
                endedHolders = state.endedHolders + holder,
            )
        return Transition(
            next,
            targets.values.filter { it.ended.isNotEmpty() }.flatMap { fenceAndFetch(next, it) },
        )
    }

    private fun predecessorUnits(
        state: LedgerState,
        holder: Holder,
        host: HostId,
    ): EndedUnits? {
        if (holder !in state.predecessors) return null
        val declared = state.declaredHoldings[holder] ?: return EndedUnits(limit = null, fetchId = 0)
        return declared[host]?.takeIf { it.isNotEmpty() }?.let { EndedUnits(it.size, fetchId = 0) }
    }

    private fun tick(
        state: LedgerState,
        now: Instant,
    ): Transition<LedgerState, LedgerDecision> {
        if (state.control == null) return Transition(state)
        val start: Transition<LedgerState, LedgerDecision> = Transition(state)
        return state.targets.values.fold(start) { before, previous ->
            val target = rules.countAttemptsWithoutUnit(previous, now)
            val due = target.loans.filterValues { it.recallAt <= now }.keys
            recall(before.state, target, now, due, before.decisions + fenceAndFetch(state, target))
        }
    }

    private fun fenceAndFetch(
        state: LedgerState,
        target: TargetLedger,
    ): List<LedgerDecision> {
        val control = state.control ?: return emptyList()
        val fence = LedgerDecision.OrderFence(target.host, control).takeIf { lacksFence(target) }
        val ask =
            LedgerDecision.FetchReport(target.host, target.fetchId).takeIf {
                lacksFence(target) || rules.needsReport(target)
            }
        return listOfNotNull(fence, ask)
    }

    private fun lacksFence(target: TargetLedger): Boolean = target.checksFencing && !target.isFenced

    private fun hasShrunk(
        before: TargetLedger,
        after: TargetLedger,
    ): Boolean = after.ramp.bound < before.ramp.bound || (after.isBootUncertain && !before.isBootUncertain)

    /** Recalls [loans], and schedules the next recall in case they aren't returned. */
    private fun recall(
        state: LedgerState,
        target: TargetLedger,
        now: Instant,
        loans: Set<LoanId>,
        earlierDecisions: List<LedgerDecision>,
    ): Transition<LedgerState, LedgerDecision> {
        val control = state.control ?: return Transition(state, earlierDecisions)
        val recallAt = now.plus(settings.loanDuration)
        val recalled = target.loans.filterKeys { it in loans }.mapValues { (_, loan) -> loan.copy(recallAt = recallAt) }
        val recalls =
            loans.map { LedgerDecision.Send(it.holder, MessageToHolder.Recall(state.daemon, control, it, target.host)) }
        return Transition(state.with(target.copy(loans = target.loans + recalled)), earlierDecisions + recalls)
    }

    private fun removeTarget(
        state: LedgerState,
        host: HostId,
        now: Instant,
    ): Transition<LedgerState, LedgerDecision> {
        val target = state.targets[host] ?: return Transition(state)
        return recall(state, target.copy(isRemoved = true), now, target.loans.keys, emptyList())
    }

    private fun boundChange(
        before: TargetLedger,
        after: TargetLedger,
    ): List<LedgerDecision> {
        if (before.ramp.bound == after.ramp.bound && before.ramp.cold == after.ramp.cold) return emptyList()
        return listOf(LedgerDecision.BoundChanged(after.host, after.ramp.bound, after.ramp.cold))
    }
}
