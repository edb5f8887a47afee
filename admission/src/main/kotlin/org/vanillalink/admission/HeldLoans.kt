/*
 * Operations on a holder's loans of one target.
 */
package org.vanillalink.admission

import org.vanillalink.model.AttemptId
import org.vanillalink.model.TargetReport
import java.time.Instant

/** Retires all loans that match [condition]: their free units are no longer used. */
internal fun TargetLoans.retire(condition: (LoanId, HeldLoan) -> Boolean): TargetLoans = copy(
    loans = loans.mapValues { (id, loan) -> if (!loan.isRetired && condition(id, loan)) loan.retired() else loan },
)

private fun HeldLoan.retired(): HeldLoan = copy(isRetired = true, units = inUse.size)

/** Assigns [attempt] a free unit of the loan that expires first, or returns null where none is free. */
internal fun TargetLoans.assignUnit(attempt: AttemptId): Pair<TargetLoans, HeldLoan>? {
    if (isSuspected) return null
    val (id, loan) = loans.entries.filter { it.value.freeUnits > 0 }.minByOrNull { it.value.expiresAt } ?: return null
    val used = loan.copy(inUse = loan.inUse + attempt)
    return copy(loans = loans + (id to used)) to used
}

/** Records [attempt], which is sent without a unit. */
internal fun TargetLoans.addWarm(attempt: AttemptId): TargetLoans = copy(
    attemptsWithoutUnit =
        attemptsWithoutUnit + attempt,
)

/** Releases the unit of [attempt]; in a retired loan the unit is not available again. */
internal fun TargetLoans.release(attempt: AttemptId): TargetLoans = copy(
    loans = loans.mapValues { (_, loan) -> if (attempt in loan.inUse) loan.without(attempt) else loan },
    attemptsWithoutUnit = attemptsWithoutUnit - attempt,
    lostAttempts = lostAttempts - attempt,
)

private fun HeldLoan.without(attempt: AttemptId): HeldLoan {
    val left = inUse - attempt
    return copy(inUse = left, units = if (isRetired) left.size else units)
}

/**
 * Applies [report]; [fetchId] is the fetch that returned it, null if it was passed on. Another boot, or a transition to
 * cold or to fewer bearable requests, retires the loans that were granted before it.
 */
internal fun TargetLoans.withReport(
    report: TargetReport,
    fetchId: Long?,
): TargetLoans {
    val confirmsBoot = isBootUncertain && fetchId != null && fetchId >= bootFetch
    if (report.boot != boot && boot != null && !confirmsBoot) return markBootUncertain()
    if (isBootUncertain && !confirmsBoot) return this
    if (report.boot == boot && report.sequence < sequence) return copy(isBootUncertain = false)
    val updated =
        copy(
            boot = report.boot,
            sequence = report.sequence,
            cold = report.cold,
            bearableRequests = report.bearableRequests,
            degradedSequence = degradedSequenceAfter(report),
            isBootUncertain = false,
        )
    return updated.retire { _, loan -> updated.isOutdated(loan) }
}

private fun TargetLoans.degradedSequenceAfter(report: TargetReport): Long {
    if (report.boot != boot) return report.sequence
    val bearsLess = bearableRequests != null && (report.bearableRequests ?: Int.MAX_VALUE) < bearableRequests
    return if (bearsLess || (report.cold && !cold)) report.sequence else degradedSequence
}

/** Whether reports of the target show that [loan] was granted before it restarted or its capacity degraded. */
internal fun TargetLoans.isOutdated(loan: HeldLoan): Boolean {
    if (boot == null) return false
    if (boot != loan.boot || isBootUncertain || loan.sequence < degradedSequence) return true
    if (sequence <= loan.sequence) return false
    return (cold && !loan.cold) || (bearableRequests != null && bearableRequests < loan.bound)
}

private fun TargetLoans.markBootUncertain(): TargetLoans {
    if (isBootUncertain) return this
    return copy(isBootUncertain = true, fetchId = fetchId + 1, bootFetch = fetchId + 1).retire { _, _ -> true }
}

/** Releases the lost attempts that [report], fetched as [fetchId], shows to have ended. */
internal fun TargetLoans.releaseEnded(
    report: TargetReport,
    fetchId: Long,
): TargetLoans {
    val ended =
        lostAttempts
            .filter { (attempt, lossFetch) ->
                lossFetch <= fetchId && attempt !in report.runningAttempts
            }.keys
    return ended.fold(
        copy(answeredFetch = maxOf(answeredFetch, fetchId)),
    ) { target, attempt -> target.release(attempt) }
}

/** Removes retired loans without units once the owner has acknowledged that none is kept. */
internal fun TargetLoans.dropFinished(): TargetLoans =
    copy(loans = loans.filterValues { !(it.isRetired && it.units == 0 && it.acknowledgedKept == 0) })

/** Whether the return of this loan has to be sent, for the first time or again. */
internal fun HeldLoan.isReturnDue(
    now: Instant,
    settings: AdmissionSettings,
): Boolean = isRetired && acknowledgedKept != units && returnSentAt.plus(settings.resendAfter) <= now
