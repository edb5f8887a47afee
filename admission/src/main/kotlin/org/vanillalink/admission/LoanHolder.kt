/*
 * The borrower's side of admission: a daemon sends a request only with a unit that it borrowed, its own domain's
 * controller included.
 *
 * The end of a loan's time makes the holder give back what it doesn't use; until the owner hears of it the units stay
 * lent, so a holder that was paused past that time does no harm.
 */
package org.vanillalink.admission

import org.vanillalink.model.Aggregate
import org.vanillalink.model.AttemptId
import org.vanillalink.model.DaemonId
import org.vanillalink.model.FencingNumber
import org.vanillalink.model.HostId
import org.vanillalink.model.Transition
import java.time.Duration
import java.time.Instant

/** Decides whether this daemon may send a request to a target. */
class LoanHolder(
    private val settings: AdmissionSettings,
) : Aggregate<HolderState, HolderEvent, HolderDecision> {
    private val messageSender = HolderMessageSender(settings)

    override fun handle(
        state: HolderState,
        event: HolderEvent,
        now: Instant,
    ): Transition<HolderState, HolderDecision> {
        val changed = apply(state, event, now)
        val told = messageSender.sendDueMessages(changed.state, now)
        return Transition(told.state, changed.decisions + told.decisions)
    }

    /** Units of [target] that an attempt could use at once. */
    fun freeUnits(
        state: HolderState,
        target: HostId,
    ): Int = state.targets[target]?.free ?: 0

    /**
     * Whether attempts may be sent to [target] without a unit: its reports show it warm. Requests that were sent in
     * this way before a turn to cold was heard of are the ones that no bound holds back.
     */
    fun isWarm(
        state: HolderState,
        target: HostId,
    ): Boolean = state.targets[target]?.warm == true

    /** Attempts at [target] whose work may not have ended. */
    fun runningAttempts(
        state: HolderState,
        target: HostId,
    ): Set<AttemptId> = state.targets[target]?.running.orEmpty()

    /** How long this holder expects to wait for a unit of [target] that it can't use now. */
    fun timeToCapacity(
        state: HolderState,
        target: HostId,
        now: Instant,
    ): Duration {
        val askAfter = state.targets[target]?.askAfter ?: now
        return Duration.between(now, askAfter).coerceAtLeast(settings.resendAfter)
    }

    private fun apply(
        state: HolderState,
        event: HolderEvent,
        now: Instant,
    ): Transition<HolderState, HolderDecision> = when (event) {
        is HolderEvent.ControlChanged -> Transition(follow(state, event.owner, event.fencingNumber, now))
        is HolderEvent.AttemptRequested -> admit(state, event)
        is HolderEvent.UnitDemandChanged -> Transition(change(state, event.target) { it.copy(wanted = event.units) })
        is HolderEvent.WarmAttemptStarted -> Transition(change(state, event.target) { it.withUnlent(event.attempt) })
        is HolderEvent.AttemptEnded -> Transition(change(state, event.target) { it.release(event.attempt) })
        is HolderEvent.AttemptLost -> lose(state, event)
        is HolderEvent.ReportReceived -> report(state, event, now)
        is HolderEvent.MessageReceived -> receive(state, event.message, now)
        HolderEvent.Tick -> tick(state, now)
    }

    /** A greater fencing number ends the free units of all earlier ones. */
    private fun follow(
        state: HolderState,
        owner: DaemonId?,
        fencingNumber: FencingNumber,
        now: Instant,
    ): HolderState {
        if (fencingNumber < state.fencingNumber) return state
        if (fencingNumber == state.fencingNumber) return state.copy(owner = state.owner ?: owner)
        val targets =
            state.targets.mapValues { (_, target) ->
                target.copy(pending = null, askAfter = now).retire { _, _ -> true }
            }
        return state.copy(
            owner = owner,
            fencingNumber = fencingNumber,
            heardAt = now,
            targets = targets,
            holdingsSent = Instant.EPOCH,
            holdingsKnown = null,
        )
    }

    private fun admit(
        state: HolderState,
        event: HolderEvent.AttemptRequested,
    ): Transition<HolderState, HolderDecision> {
        val target = state.targets[event.target] ?: TargetLoans()
        val (used, loan) =
            target.use(event.attempt) ?: return Transition(
                state.with(event.target, target.copy(wanted = target.wanted + 1)),
                listOf(HolderDecision.Defer(event.attempt, event.target)),
            )
        val admit = HolderDecision.Admit(event.attempt, event.target, loan.boot, loan.fencingNumber)
        val wanted = if (used.free == 0) maxOf(used.wanted, 1) else used.wanted
        return Transition(state.with(event.target, used.copy(wanted = wanted)), listOf(admit))
    }

    private fun lose(
        state: HolderState,
        event: HolderEvent.AttemptLost,
    ): Transition<HolderState, HolderDecision> {
        val target = state.targets[event.target] ?: return Transition(state)
        if (event.attempt !in target.running) return Transition(state)
        val fetchId = target.fetchId + 1
        val next = target.copy(fetchId = fetchId, lost = target.lost + (event.attempt to fetchId))
        return Transition(state.with(event.target, next), listOf(HolderDecision.FetchReport(event.target, fetchId)))
    }

    private fun report(
        state: HolderState,
        event: HolderEvent.ReportReceived,
        now: Instant,
    ): Transition<HolderState, HolderDecision> {
        val report = event.report
        val current = follow(state, owner = null, report.highestFencingNumber, now)
        val before = current.targets[report.host] ?: TargetLoans()
        val observed = before.observe(report, event.fetchId)
        val settled = event.fetchId?.let { observed.settleLost(report, it) } ?: observed
        val fetches = if (observed.fetchId > before.fetchId) listOf(fetchReport(report.host, settled)) else emptyList()
        return Transition(current.with(report.host, settled), fetches)
    }

    private fun fetchReport(
        host: HostId,
        target: TargetLoans,
    ): HolderDecision = HolderDecision.FetchReport(host, target.fetchId)

    private fun receive(
        state: HolderState,
        message: MessageToHolder,
        now: Instant,
    ): Transition<HolderState, HolderDecision> {
        if (message.fencingNumber < state.fencingNumber) return Transition(state)
        val current = follow(state, message.owner, message.fencingNumber, now).copy(heardAt = now)
        return when (message) {
            is MessageToHolder.Grant -> accept(current, message, now)
            is MessageToHolder.Refuse -> Transition(refused(current, message, now))
            is MessageToHolder.Recall -> recall(current, message)
            is MessageToHolder.ReturnAcknowledged -> Transition(acknowledged(current, message))
            is MessageToHolder.HoldingsAcknowledged -> Transition(current.copy(holdingsKnown = message.inUse))
        }
    }

    private fun accept(
        state: HolderState,
        grant: MessageToHolder.Grant,
        now: Instant,
    ): Transition<HolderState, HolderDecision> {
        val target = state.targets[grant.target] ?: TargetLoans()
        if (grant.loan in target.loans) return Transition(state)
        if (target.pending?.loan != grant.loan) return refuseLoan(state, grant.loan, grant.target)
        val end = now.plus(grant.duration)
        val loan = HeldLoan(grant.fencingNumber, grant.boot, grant.units, end, grant.sequence, grant.bound, grant.cold)
        val next = target.copy(pending = null, wanted = 0, loans = target.loans + (grant.loan to loan))
        val outdated = next.retire { id, held -> id == grant.loan && next.outdates(held) }
        return Transition(state.with(grant.target, outdated))
    }

    /** A loan that isn't awaited is given back whole, and never used. */
    private fun refuseLoan(
        state: HolderState,
        loan: LoanId,
        target: HostId,
    ): Transition<HolderState, HolderDecision> {
        val owner = state.owner ?: return Transition(state)
        val message = MessageToOwner.Return(loan, target, kept = 0, state.fencingNumber)
        return Transition(state, listOf(HolderDecision.Send(owner, message)))
    }

    private fun refused(
        state: HolderState,
        message: MessageToHolder.Refuse,
        now: Instant,
    ): HolderState = change(state, message.target) { target ->
        if (target.pending?.loan != message.loan) return@change target
        target.copy(pending = null, askAfter = now.plus(minOf(message.retryAfter, settings.loanDuration)))
    }

    private fun recall(
        state: HolderState,
        message: MessageToHolder.Recall,
    ): Transition<HolderState, HolderDecision> {
        val target = state.targets[message.target] ?: TargetLoans()
        if (target.pending?.loan == message.loan) {
            val cancelled = state.with(message.target, target.copy(pending = null))
            return refuseLoan(cancelled, message.loan, message.target)
        }
        if (message.loan !in target.loans) return refuseLoan(state, message.loan, message.target)
        return Transition(change(state, message.target) { it.retire { id, _ -> id == message.loan } })
    }

    private fun acknowledged(
        state: HolderState,
        message: MessageToHolder.ReturnAcknowledged,
    ): HolderState = change(state, message.target) { target ->
        val loan = target.loans[message.loan] ?: return@change target
        val known = minOf(message.kept, loan.returnKnown ?: message.kept)
        target.copy(loans = target.loans + (message.loan to loan.copy(returnKnown = known))).dropFinished()
    }

    private fun tick(
        state: HolderState,
        now: Instant,
    ): Transition<HolderState, HolderDecision> {
        val ownerHeard = state.heardAt.plus(settings.loanDuration) > now
        val targets =
            state.targets.mapValues { (_, target) ->
                target.retire { _, loan -> ownerHeard && loan.end <= now }
            }
        val fetches =
            targets.filterValues { it.lost.isNotEmpty() || it.bootInDoubt }.map { (host, it) ->
                fetchReport(host, it)
            }
        return Transition(state.copy(targets = targets), fetches)
    }

    private fun change(
        state: HolderState,
        host: HostId,
        change: (TargetLoans) -> TargetLoans,
    ): HolderState = state.with(host, change(state.targets[host] ?: TargetLoans()))
}
