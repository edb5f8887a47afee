/*
 * The holder's side of admission: a daemon sends a request to a cold target only with a borrowed unit; this includes
 * the controller of the target's domain.
 *
 * When a loan expires, the holder returns the units that it doesn't use. They stay lent until the owner receives the
 * return, so a holder that was paused past the expiry can't exceed the bound.
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
        val sent = messageSender.sendDueMessages(changed.state, now)
        return Transition(sent.state, changed.decisions + sent.decisions)
    }

    /** Units of [target] that can be assigned to attempts now. */
    fun freeUnits(
        state: HolderState,
        target: HostId,
    ): Int = state.targets[target]?.freeUnits ?: 0

    /**
     * Whether attempts may be sent to [target] without a unit, since its reports show it warm. Requests sent in this
     * way before the report of a transition to cold is received are not limited by the cold bound.
     */
    fun isWarm(
        state: HolderState,
        target: HostId,
    ): Boolean = state.targets[target]?.isWarm == true

    /** Attempts at [target] whose execution may not have ended. */
    fun runningAttempts(
        state: HolderState,
        target: HostId,
    ): Set<AttemptId> = state.targets[target]?.runningAttempts.orEmpty()

    /** Estimates how long this holder has to wait for a unit of [target]. */
    fun timeToCapacity(
        state: HolderState,
        target: HostId,
        now: Instant,
    ): Duration {
        val borrowAfter = state.targets[target]?.borrowAfter ?: now
        return Duration.between(now, borrowAfter).coerceAtLeast(settings.resendAfter)
    }

    private fun apply(
        state: HolderState,
        event: HolderEvent,
        now: Instant,
    ): Transition<HolderState, HolderDecision> = when (event) {
        is HolderEvent.ControlChanged -> Transition(updateControl(state, event.owner, event.fencingNumber, now))
        is HolderEvent.AttemptRequested -> admit(state, event)
        is HolderEvent.UnitDemandChanged -> Transition(update(state, event.target) { it.copy(demand = event.units) })
        is HolderEvent.WarmAttemptStarted -> Transition(update(state, event.target) { it.addWarm(event.attempt) })
        is HolderEvent.AttemptEnded -> Transition(update(state, event.target) { it.release(event.attempt) })
        is HolderEvent.AttemptLost -> markLost(state, event)
        is HolderEvent.ReportReceived -> applyReport(state, event, now)
        is HolderEvent.MessageReceived -> applyMessage(state, event.message, now)
        HolderEvent.Tick -> tick(state, now)
    }

    /** A greater fencing number retires the loans of all earlier ones. */
    private fun updateControl(
        state: HolderState,
        owner: DaemonId?,
        fencingNumber: FencingNumber,
        now: Instant,
    ): HolderState {
        if (fencingNumber < state.fencingNumber) return state
        if (fencingNumber == state.fencingNumber) return state.copy(owner = state.owner ?: owner)
        val targets =
            state.targets.mapValues { (_, target) ->
                target.copy(pendingLoan = null, borrowAfter = now).retire { _, _ -> true }
            }
        return state.copy(
            owner = owner,
            fencingNumber = fencingNumber,
            lastReceivedAt = now,
            targets = targets,
            holdingsSentAt = Instant.EPOCH,
            acknowledgedHoldings = null,
        )
    }

    private fun admit(
        state: HolderState,
        event: HolderEvent.AttemptRequested,
    ): Transition<HolderState, HolderDecision> {
        val target = state.targets[event.target] ?: TargetLoans()
        val (used, loan) =
            target.assignUnit(event.attempt) ?: return Transition(
                state.with(event.target, target.copy(demand = target.demand + 1)),
                listOf(HolderDecision.Defer(event.attempt, event.target)),
            )
        val admit = HolderDecision.Admit(event.attempt, event.target, loan.boot, loan.fencingNumber)
        val demand = if (used.freeUnits == 0) maxOf(used.demand, 1) else used.demand
        return Transition(state.with(event.target, used.copy(demand = demand)), listOf(admit))
    }

    private fun markLost(
        state: HolderState,
        event: HolderEvent.AttemptLost,
    ): Transition<HolderState, HolderDecision> {
        val target = state.targets[event.target] ?: return Transition(state)
        if (event.attempt !in target.runningAttempts) return Transition(state)
        val fetchId = target.fetchId + 1
        val next = target.copy(fetchId = fetchId, lostAttempts = target.lostAttempts + (event.attempt to fetchId))
        return Transition(state.with(event.target, next), listOf(HolderDecision.FetchReport(event.target, fetchId)))
    }

    private fun applyReport(
        state: HolderState,
        event: HolderEvent.ReportReceived,
        now: Instant,
    ): Transition<HolderState, HolderDecision> {
        val report = event.report
        val current = updateControl(state, owner = null, report.highestFencingNumber, now)
        val before = current.targets[report.host] ?: TargetLoans()
        val observed = before.withReport(report, event.fetchId)
        val settled = event.fetchId?.let { observed.releaseEnded(report, it) } ?: observed
        val fetches = if (observed.fetchId > before.fetchId) listOf(fetchReport(report.host, settled)) else emptyList()
        return Transition(current.with(report.host, settled), fetches)
    }

    private fun fetchReport(
        host: HostId,
        target: TargetLoans,
    ): HolderDecision = HolderDecision.FetchReport(host, target.fetchId)

    private fun applyMessage(
        state: HolderState,
        message: MessageToHolder,
        now: Instant,
    ): Transition<HolderState, HolderDecision> {
        if (message.fencingNumber < state.fencingNumber) return Transition(state)
        val current = updateControl(state, message.owner, message.fencingNumber, now).copy(lastReceivedAt = now)
        return when (message) {
            is MessageToHolder.Grant -> acceptGrant(current, message, now)
            is MessageToHolder.Refuse -> Transition(applyRefusal(current, message, now))
            is MessageToHolder.Recall -> applyRecall(current, message)
            is MessageToHolder.ReturnAcknowledged -> Transition(applyReturnAcknowledged(current, message))
            is MessageToHolder.HoldingsAcknowledged -> Transition(current.copy(acknowledgedHoldings = message.inUse))
        }
    }

    private fun acceptGrant(
        state: HolderState,
        grant: MessageToHolder.Grant,
        now: Instant,
    ): Transition<HolderState, HolderDecision> {
        val target = state.targets[grant.target] ?: TargetLoans()
        if (grant.loan in target.loans) return Transition(state)
        if (target.pendingLoan?.loan != grant.loan) return returnLoan(state, grant.loan, grant.target)
        val expiresAt = now.plus(grant.duration)
        val loan =
            HeldLoan(grant.fencingNumber, grant.boot, grant.units, expiresAt, grant.sequence, grant.bound, grant.cold)
        val next = target.copy(pendingLoan = null, demand = 0, loans = target.loans + (grant.loan to loan))
        val outdated = next.retire { id, held -> id == grant.loan && next.isOutdated(held) }
        return Transition(state.with(grant.target, outdated))
    }

    /** Returns all units of a loan that is not pending; none of them is used. */
    private fun returnLoan(
        state: HolderState,
        loan: LoanId,
        target: HostId,
    ): Transition<HolderState, HolderDecision> {
        val owner = state.owner ?: return Transition(state)
        val message = MessageToOwner.Return(loan, target, kept = 0, state.fencingNumber)
        return Transition(state, listOf(HolderDecision.Send(owner, message)))
    }

    private fun applyRefusal(
        state: HolderState,
        message: MessageToHolder.Refuse,
        now: Instant,
    ): HolderState = update(state, message.target) { target ->
        if (target.pendingLoan?.loan != message.loan) return@update target
        target.copy(pendingLoan = null, borrowAfter = now.plus(minOf(message.retryAfter, settings.loanDuration)))
    }

    private fun applyRecall(
        state: HolderState,
        message: MessageToHolder.Recall,
    ): Transition<HolderState, HolderDecision> {
        val target = state.targets[message.target] ?: TargetLoans()
        if (target.pendingLoan?.loan == message.loan) {
            val cancelled = state.with(message.target, target.copy(pendingLoan = null))
            return returnLoan(cancelled, message.loan, message.target)
        }
        if (message.loan !in target.loans) return returnLoan(state, message.loan, message.target)
        return Transition(update(state, message.target) { it.retire { id, _ -> id == message.loan } })
    }

    private fun applyReturnAcknowledged(
        state: HolderState,
        message: MessageToHolder.ReturnAcknowledged,
    ): HolderState = update(state, message.target) { target ->
        val loan = target.loans[message.loan] ?: return@update target
        val kept = minOf(message.kept, loan.acknowledgedKept ?: message.kept)
        target.copy(loans = target.loans + (message.loan to loan.copy(acknowledgedKept = kept))).dropFinished()
    }

    private fun tick(
        state: HolderState,
        now: Instant,
    ): Transition<HolderState, HolderDecision> {
        val isOwnerActive = state.lastReceivedAt.plus(settings.loanDuration) > now
        val targets =
            state.targets.mapValues { (_, target) ->
                target.retire { _, loan -> isOwnerActive && loan.expiresAt <= now }
            }
        val fetches =
            targets.filterValues { it.lostAttempts.isNotEmpty() || it.isBootUncertain }.map { (host, it) ->
                fetchReport(host, it)
            }
        return Transition(state.copy(targets = targets), fetches)
    }

    private fun update(
        state: HolderState,
        host: HostId,
        change: (TargetLoans) -> TargetLoans,
    ): HolderState = state.with(host, change(state.targets[host] ?: TargetLoans()))
}
