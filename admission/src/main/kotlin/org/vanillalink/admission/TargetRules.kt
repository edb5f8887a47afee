/*
 * The rules for the units of one target: what a report proves, and how many units are free.
 */
package org.vanillalink.admission

import org.vanillalink.model.AttemptId
import org.vanillalink.model.FencingNumber
import org.vanillalink.model.TargetPhase
import org.vanillalink.model.TargetReport
import java.time.Instant

/** Applies reports and ended holders to the ledger of one target. */
internal class TargetRules(
    private val settings: AdmissionSettings,
) {
    /** A target without reports yet; what it runs in the first fetched report counts as units of unknown holders. */
    fun createTarget(event: LedgerEvent.TargetAdded): TargetLedger = TargetLedger(
        host = event.host,
        checksFencing = event.checksFencing,
        warmRequests = event.warmRequests,
        ended = listOf(EndedUnits(limit = null, fetchId = 1)),
    )

    /** Applies [report]; [fetchId] is the fetch that returned it, null if it was passed on. */
    fun applyReport(
        target: TargetLedger,
        report: TargetReport,
        fetchId: Long?,
        control: FencingNumber?,
    ): TargetLedger {
        val confirmed = updateBoot(target, report, fetchId)
        if (confirmed.boot != report.boot || confirmed.isBootUncertain) return confirmed
        if (report.sequence < confirmed.sequence) return confirmed
        val rebooted = confirmed.sequence == NO_REPORT
        val ramp = if (rebooted) confirmed.ramp else rampRules(target).updateRamp(confirmed.ramp, report)
        val current = confirmed.copy(sequence = report.sequence, phase = report.phase, ramp = ramp)
        return settleFence(settleEnded(dropEndedAttempts(current, report), report, fetchId), report, control)
    }

    /** Units that may be lent now; [declared] are in use under earlier controllers, null while that is unknown. */
    fun freeUnits(
        target: TargetLedger,
        declared: Set<AttemptId>?,
    ): Int {
        if (target.isRemoved || target.isBootUncertain || target.phase != TargetPhase.READY) return 0
        if (target.checksFencing && !target.isFenced) return 0
        val hasAttemptsWithoutUnit = target.attemptsWithoutUnitUntil != null
        val isUseUnknown =
            hasAttemptsWithoutUnit || target.ended.any { it.limit == null } ||
                (declared == null && !target.checksFencing)
        if (isUseUnknown && target.ramp.cold) return 0
        val earlier = if (target.checksFencing) emptySet() else declared.orEmpty()
        return maxOf(0, target.ramp.bound - earlier.size - outstanding(target, earlier))
    }

    /** Units lent or still in use by ended processes, except those of attempts [counted] elsewhere. */
    private fun outstanding(
        target: TargetLedger,
        counted: Set<AttemptId>,
    ): Int {
        val lent = target.loans.values.sumOf { it.units }
        val orphaned = target.orphaned.sumOf { it.units(counted) }
        return lent + orphaned + target.ended.sumOf { it.limit ?: 0 }
    }

    /** Counts the units of an ended process until a fetched report shows which of its attempts still run. */
    fun endHolder(
        target: TargetLedger,
        holder: Holder,
        declared: EndedUnits?,
    ): TargetLedger {
        val ended = target.loans.filterKeys { it.holder == holder }
        val lent = ended.values.sumOf { it.units }
        if (lent == 0 && declared == null) return target
        val fetchId = target.fetchId + 1
        val units =
            listOfNotNull(EndedUnits(lent, fetchId).takeIf { lent > 0 }, declared?.copy(fetchId = fetchId))
        return target.copy(loans = target.loans - ended.keys, ended = target.ended + units, fetchId = fetchId)
    }

    /** Treats the target as cold although no report says so. */
    fun markCold(target: TargetLedger): TargetLedger {
        if (target.ramp.cold) return target
        return target.copy(ramp = Ramp(settings.coldRequests, cold = true, isColdAssumed = true))
    }

    /** After a transition to cold, waits for requests of daemons that still send them without units. */
    fun awaitAttemptsWithoutUnit(
        before: TargetLedger,
        after: TargetLedger,
        now: Instant,
    ): TargetLedger {
        val refusesEarlierAttempts = after.checksFencing && before.boot != after.boot
        val turnsCold = after.ramp.cold && !before.ramp.cold
        if (!turnsCold || refusesEarlierAttempts || settings.coldTransitionDelay.isZero) return after
        return after.copy(attemptsWithoutUnitUntil = now.plus(settings.coldTransitionDelay))
    }

    /** Requests a count of the running attempts once no daemon sends requests without units any more. */
    fun countAttemptsWithoutUnit(
        target: TargetLedger,
        now: Instant,
    ): TargetLedger {
        if (target.attemptsWithoutUnitUntil?.let { it <= now } != true) return target
        val fetchId = target.fetchId + 1
        val unknown = EndedUnits(limit = null, fetchId = fetchId)
        return target.copy(attemptsWithoutUnitUntil = null, ended = target.ended + unknown, fetchId = fetchId)
    }

    /** Whether only a report fetched from the target itself can free units. */
    fun needsReport(target: TargetLedger): Boolean =
        target.boot == null || target.isBootUncertain || target.ended.isNotEmpty() || target.orphaned.isNotEmpty()

    fun rampRules(target: TargetLedger): RampRules = RampRules(settings, target.warmRequests)

    /** Accepts another boot only from a report whose fetch was sent after the current boot was confirmed. */
    private fun updateBoot(
        target: TargetLedger,
        report: TargetReport,
        fetchId: Long?,
    ): TargetLedger {
        val confirmsBoot = fetchId != null && fetchId > target.bootFetch
        if (report.boot == target.boot) return if (confirmsBoot) target.copy(isBootUncertain = false) else target
        if (!confirmsBoot) return markBootUncertain(target)
        return target.copy(
            boot = report.boot,
            sequence = NO_REPORT,
            isFenced = false,
            isBootUncertain = false,
            ramp = rampRules(target).startRamp(report, rebooted = target.boot != null),
            loans = if (target.checksFencing) emptyMap() else target.loans,
            bootFetch = target.fetchId,
        )
    }

    private fun markBootUncertain(target: TargetLedger): TargetLedger = if (target.isBootUncertain) {
        target
    } else {
        target.copy(isBootUncertain = true, bootFetch = target.fetchId, fetchId = target.fetchId + 1)
    }

    private fun dropEndedAttempts(
        target: TargetLedger,
        report: TargetReport,
    ): TargetLedger {
        val orphaned = target.orphaned.map { it.copy(attempts = it.attempts intersect report.runningAttempts) }
        return target.copy(orphaned = orphaned.filter { it.attempts.isNotEmpty() })
    }

    private fun settleEnded(
        target: TargetLedger,
        report: TargetReport,
        fetchId: Long?,
    ): TargetLedger {
        if (fetchId == null) return target
        val (settled, open) = target.ended.partition { it.fetchId <= fetchId }
        val orphaned = settled.map { OrphanedUnits(it.limit, report.runningAttempts) }
        return target.copy(ended = open, orphaned = target.orphaned + orphaned.filter { it.units() > 0 })
    }

    private fun settleFence(
        target: TargetLedger,
        report: TargetReport,
        control: FencingNumber?,
    ): TargetLedger {
        if (!target.checksFencing || target.isFenced || report.highestFencingNumber != control) return target
        val running = OrphanedUnits(limit = null, attempts = report.runningAttempts)
        return target.copy(isFenced = true, ended = emptyList(), orphaned = listOf(running).filter { it.units() > 0 })
    }

    private companion object {
        const val NO_REPORT = -1L
    }
}
