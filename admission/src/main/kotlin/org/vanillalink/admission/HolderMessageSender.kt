/*
 * Which messages a holder sends to the owner of its units, and when it sends them again.
 */
package org.vanillalink.admission

import org.vanillalink.model.AttemptId
import org.vanillalink.model.HostId
import org.vanillalink.model.Transition
import java.time.Instant

/** Sends a holder's messages, and resends them until they are acknowledged. */
internal class HolderMessageSender(
    private val settings: AdmissionSettings,
) {
    /** Sends the messages that the owner has not acknowledged: returns, declarations and requests for loans. */
    fun sendDueMessages(
        state: HolderState,
        now: Instant,
    ): Transition<HolderState, HolderDecision> {
        val owner = state.owner ?: return Transition(state)
        val messages = mutableListOf<MessageToOwner>()
        val declared = declareHoldings(state, now, messages)
        var next = declared
        declared.targets.forEach { (host, target) ->
            val returned = sendReturns(declared, host, target, now, messages)
            next = borrow(next.with(host, returned), host, returned, now, messages)
        }
        return Transition(next, messages.map { HolderDecision.Send(owner, it) })
    }

    private fun declareHoldings(
        state: HolderState,
        now: Instant,
        messages: MutableList<MessageToOwner>,
    ): HolderState {
        val inUse = holdingsOfEarlierControl(state)
        if (state.acknowledgedHoldings == inUse) return state.copy(targets = dropFinishedEarlierLoans(state))
        if (state.holdingsSentAt.plus(settings.resendAfter) > now) return state
        messages.add(MessageToOwner.Holdings(state.holder, state.fencingNumber, inUse))
        return state.copy(holdingsSentAt = now)
    }

    private fun holdingsOfEarlierControl(state: HolderState): Map<HostId, Set<AttemptId>> = state.targets
        .mapValues { (_, target) -> loansOfEarlierControl(state, target).values.flatMapTo(mutableSetOf()) { it.inUse } }
        .filterValues { it.isNotEmpty() }

    private fun loansOfEarlierControl(
        state: HolderState,
        target: TargetLoans,
    ): Map<LoanId, HeldLoan> = target.loans.filterValues { it.fencingNumber < state.fencingNumber }

    private fun dropFinishedEarlierLoans(state: HolderState): Map<HostId, TargetLoans> =
        state.targets.mapValues { (_, target) ->
            val finished = loansOfEarlierControl(state, target).filterValues { it.units == 0 }
            target.copy(loans = target.loans - finished.keys)
        }

    private fun sendReturns(
        state: HolderState,
        host: HostId,
        target: TargetLoans,
        now: Instant,
        messages: MutableList<MessageToOwner>,
    ): TargetLoans {
        val due = target.loans.filterValues { it.fencingNumber == state.fencingNumber && it.isReturnDue(now, settings) }
        due.forEach { (id, loan) -> messages.add(MessageToOwner.Return(id, host, loan.units, state.fencingNumber)) }
        return target.copy(loans = target.loans + due.mapValues { (_, loan) -> loan.copy(returnSentAt = now) })
    }

    private fun borrow(
        state: HolderState,
        host: HostId,
        target: TargetLoans,
        now: Instant,
        messages: MutableList<MessageToOwner>,
    ): HolderState {
        val pending = target.pendingLoan ?: newLoan(state, target, now) ?: return state
        val resent = target.pendingLoan != null
        if (resent && pending.sentAt.plus(settings.resendAfter) > now) return state
        messages.add(MessageToOwner.Borrow(pending.loan, host, pending.units, state.fencingNumber))
        val next = state.with(host, target.copy(pendingLoan = pending.copy(sentAt = now)))
        return if (resent) next else next.copy(nextSequence = state.nextSequence + 1)
    }

    private fun newLoan(
        state: HolderState,
        target: TargetLoans,
        now: Instant,
    ): PendingLoan? {
        if (target.demand == 0 || target.borrowAfter > now) return null
        val units = minOf(target.demand + SPARE_UNITS, settings.unitsPerLoan)
        return PendingLoan(LoanId(state.holder, state.nextSequence), units, now)
    }

    private companion object {
        /** Units requested in advance of demand. */
        const val SPARE_UNITS = 1
    }
}
