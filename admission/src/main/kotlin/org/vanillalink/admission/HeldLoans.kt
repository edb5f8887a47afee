/*
 * What a holder may still do with its loans of one target.
 */
package org.vanillalink.admission

import org.vanillalink.model.AttemptId
import org.vanillalink.model.TargetReport
import java.time.Instant

/** Gives up the free units of all loans for which [reason] holds. */
internal fun TargetLoans.retire(reason: (LoanId, HeldLoan) -> Boolean): TargetLoans = copy(
    loans = loans.mapValues { (id, loan) -> if (!loan.retired && reason(id, loan)) loan.retired() else loan },
)

private fun HeldLoan.retired(): HeldLoan = copy(retired = true, units = inUse.size)

/** Uses a free unit for [attempt], of the loan that ends first, or null where none is free. */
internal fun TargetLoans.use(attempt: AttemptId): Pair<TargetLoans, HeldLoan>? {
    if (suspect) return null
    val (id, loan) = loans.entries.filter { it.value.free > 0 }.minByOrNull { it.value.end } ?: return null
    val used = loan.copy(inUse = loan.inUse + attempt)
    return copy(loans = loans + (id to used)) to used
}

/** Takes note of [attempt], which is sent without a unit. */
internal fun TargetLoans.withUnlent(attempt: AttemptId): TargetLoans = copy(unlent = unlent + attempt)

/** Frees the unit of [attempt]; a retired loan loses it. */
internal fun TargetLoans.release(attempt: AttemptId): TargetLoans = copy(
    loans = loans.mapValues { (_, loan) -> if (attempt in loan.inUse) loan.without(attempt) else loan },
    unlent = unlent - attempt,
    lost = lost - attempt,
)

private fun HeldLoan.without(attempt: AttemptId): HeldLoan {
    val left = inUse - attempt
    return copy(inUse = left, units = if (retired) left.size else units)
}

/** Takes note of [report], the answer to [fetchId]: another boot or a turn to cold ends what was lent before. */
internal fun TargetLoans.observe(
    report: TargetReport,
    fetchId: Long?,
): TargetLoans {
    val proves = bootInDoubt && fetchId != null && fetchId >= bootFetch
    if (report.boot != boot && boot != null && !proves) return doubt()
    if (bootInDoubt && !proves) return this
    if (report.boot == boot && report.sequence < sequence) return copy(bootInDoubt = false)
    val seen =
        copy(
            boot = report.boot,
            sequence = report.sequence,
            cold = report.cold,
            bearableRequests = report.bearableRequests,
            turnSequence = turnAfter(report),
            bootInDoubt = false,
        )
    return seen.retire { _, loan -> seen.outdates(loan) }
}

private fun TargetLoans.turnAfter(report: TargetReport): Long {
    if (report.boot != boot) return report.sequence
    val bearsLess = bearableRequests != null && (report.bearableRequests ?: Int.MAX_VALUE) < bearableRequests
    return if (bearsLess || (report.cold && !cold)) report.sequence else turnSequence
}

/** Whether what this holder knows of the target shows that [loan] was lent before a turn for the worse. */
internal fun TargetLoans.outdates(loan: HeldLoan): Boolean {
    if (boot == null) return false
    if (boot != loan.boot || bootInDoubt || loan.sequence < turnSequence) return true
    if (sequence <= loan.sequence) return false
    return (cold && !loan.cold) || (bearableRequests != null && bearableRequests < loan.bound)
}

private fun TargetLoans.doubt(): TargetLoans {
    if (bootInDoubt) return this
    return copy(bootInDoubt = true, fetchId = fetchId + 1, bootFetch = fetchId + 1).retire { _, _ -> true }
}

/** Frees the lost attempts that [report], the answer to [fetchId], shows to have ended. */
internal fun TargetLoans.settleLost(
    report: TargetReport,
    fetchId: Long,
): TargetLoans {
    val ended = lost.filter { (attempt, lossFetch) -> lossFetch <= fetchId && attempt !in report.runningAttempts }.keys
    return ended.fold(
        copy(answeredFetch = maxOf(answeredFetch, fetchId)),
    ) { target, attempt -> target.release(attempt) }
}

/** Forgets loans of which the owner knows that nothing is left. */
internal fun TargetLoans.dropFinished(): TargetLoans =
    copy(loans = loans.filterValues { !(it.retired && it.units == 0 && it.returnKnown == 0) })

/** Whether the owner must be told of this loan (again). */
internal fun HeldLoan.mustTell(
    now: Instant,
    settings: AdmissionSettings,
): Boolean = retired && returnKnown != units && returnSent.plus(settings.resendAfter) <= now
