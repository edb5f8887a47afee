/*
 * The ledger's replies to holders, and the number of units that it may lend.
 */
package org.vanillalink.admission

import org.vanillalink.model.AttemptId
import org.vanillalink.model.FencingNumber
import org.vanillalink.model.HostId
import org.vanillalink.model.Transition
import java.time.Duration
import java.time.Instant

/** Replies to holders under the controller's fencing number. */
internal class LoanIssuer(
    private val settings: AdmissionSettings,
    private val rules: TargetRules,
) {
    /** Units of [host] that may be lent now. */
    fun freeUnits(
        state: LedgerState,
        host: HostId,
    ): Int = state.targets[host]?.let { rules.freeUnits(it, declaredUnits(state, host)) } ?: 0

    /** Estimates how long it takes until [host] has capacity for one more request than its current bound. */
    fun timeToCapacity(
        state: LedgerState,
        host: HostId,
        now: Instant,
    ): Duration {
        val target = state.targets[host] ?: return settings.loanDuration
        val growth = rules.rampRules(target).timeToReach(target.ramp, target.ramp.bound + 1)
        val nextExpiry = target.loans.values.minOfOrNull { it.expiresAt } ?: return growth
        val returned = Duration.between(now, nextExpiry).coerceAtLeast(settings.resendAfter)
        return minOf(returned, growth)
    }

    /** Replies to a request for a loan; a repeated request gets the same grant again. */
    fun issueLoan(
        state: LedgerState,
        message: MessageToOwner.Borrow,
        control: FencingNumber,
        now: Instant,
    ): Transition<LedgerState, LedgerDecision> {
        val target = state.targets[message.target]
        val existing = target?.loans?.get(message.loan)
        if (target != null &&
            existing != null
        ) {
            return Transition(state, listOf(grant(state, control, target, message.loan)))
        }
        val units = minOf(lendable(state, message), message.units, settings.unitsPerLoan)
        if (target?.boot == null || units <= 0) return Transition(state, listOf(refuse(state, control, message, now)))
        val expiresAt = now.plus(settings.loanDuration)
        val loan =
            Loan(
                units,
                target.boot,
                target.sequence,
                target.ramp.bound,
                target.ramp.cold,
                expiresAt,
                recallAt = expiresAt.plus(settings.loanDuration),
            )
        val next = target.copy(loans = target.loans + (message.loan to loan))
        return Transition(state.with(next), listOf(grant(state, control, next, message.loan)))
    }

    /**
     * A process instance that the table doesn't list is unknown to the next controller, which would miss its use of a
     * target that doesn't check fencing. Such a holder gets no units of these targets.
     */
    private fun lendable(
        state: LedgerState,
        message: MessageToOwner.Borrow,
    ): Int {
        if (message.holder in state.endedHolders) return 0
        val checks = state.targets[message.target]?.checksFencing == true
        return if (checks || message.holder in state.registeredHolders) freeUnits(state, message.target) else 0
    }

    private fun grant(
        state: LedgerState,
        control: FencingNumber,
        target: TargetLedger,
        id: LoanId,
    ): LedgerDecision {
        val loan = target.loans.getValue(id)
        val grant =
            MessageToHolder.Grant(
                owner = state.daemon,
                fencingNumber = control,
                loan = id,
                target = target.host,
                boot = loan.boot,
                units = loan.units,
                duration = settings.loanDuration,
                sequence = loan.sequence,
                bound = loan.bound,
                cold = loan.cold,
            )
        return LedgerDecision.Send(id.holder, grant)
    }

    private fun refuse(
        state: LedgerState,
        control: FencingNumber,
        message: MessageToOwner.Borrow,
        now: Instant,
    ): LedgerDecision {
        val retryAfter = timeToCapacity(state, message.target, now)
        val refuse = MessageToHolder.Refuse(state.daemon, control, message.loan, message.target, retryAfter)
        return LedgerDecision.Send(message.holder, refuse)
    }

    /** Reduces the loan to the units that the holder keeps. */
    fun applyReturn(
        state: LedgerState,
        message: MessageToOwner.Return,
        control: FencingNumber,
    ): Transition<LedgerState, LedgerDecision> {
        val reply =
            MessageToHolder.ReturnAcknowledged(state.daemon, control, message.loan, message.target, message.kept)
        val decisions = listOf(LedgerDecision.Send(message.holder, reply))
        val target = state.targets[message.target] ?: return Transition(state, decisions)
        val loan = target.loans[message.loan] ?: return Transition(state, decisions)
        val remaining = loan.copy(units = minOf(loan.units, message.kept))
        val loans = if (remaining.units > 0) target.loans + (message.loan to remaining) else target.loans - message.loan
        return Transition(state.with(target.copy(loans = loans)), decisions)
    }

    /** Records the units of earlier controllers that a holder still uses. */
    fun recordHoldings(
        state: LedgerState,
        message: MessageToOwner.Holdings,
        control: FencingNumber,
    ): Transition<LedgerState, LedgerDecision> {
        val reply = MessageToHolder.HoldingsAcknowledged(state.daemon, control, message.inUse)
        val decisions = listOf(LedgerDecision.Send(message.holder, reply))
        if (message.holder !in state.predecessors) return Transition(state, decisions)
        val previous = state.declaredHoldings[message.holder]
        val remaining =
            previous?.mapValues { (host, attempts) -> attempts intersect message.inUse[host].orEmpty() }
                ?: message.inUse
        return Transition(
            state.copy(declaredHoldings = state.declaredHoldings + (message.holder to remaining)),
            decisions,
        )
    }

    /** Attempts at [host] that use units of earlier controllers; null until every such holder has declared its use. */
    private fun declaredUnits(
        state: LedgerState,
        host: HostId,
    ): Set<AttemptId>? {
        if (state.predecessors.any { it !in state.declaredHoldings }) return null
        return state.declaredHoldings.values.flatMapTo(mutableSetOf()) { it[host].orEmpty() }
    }
}
