/*
 * The rules for the units of one target: what a report proves, and how many units are free.
 */
package org.vanillalink.admission

import org.vanillalink.model.AttemptId
import org.vanillalink.model.FencingNumber
import org.vanillalink.model.TargetPhase
import org.vanillalink.model.TargetReport
import java.time.Instant

/** Rules of one target under a controller with a given fencing number. */
internal class TargetRules(
    private val settings: AdmissionSettings,
) {
    /** A target of which nothing is known; whatever it runs at the first answer belongs to somebody unknown. */
    fun added(event: LedgerEvent.TargetAdded): TargetLedger = TargetLedger(
        host = event.host,
        checksFencing = event.checksFencing,
        warmRequests = event.warmRequests,
        ended = listOf(EndedUnits(limit = null, fetchId = 1)),
    )

    /** Applies [report]; [fetchId] is the fetch that it answers. */
    fun reported(
        target: TargetLedger,
        report: TargetReport,
        fetchId: Long?,
        control: FencingNumber?,
    ): TargetLedger {
        val believed = believeBoot(target, report, fetchId)
        if (believed.boot != report.boot || believed.bootInDoubt) return believed
        if (report.sequence < believed.sequence) return believed
        val rebooted = believed.sequence == NOTHING_SEEN
        val ramp = if (rebooted) believed.ramp else rampRules(target).next(believed.ramp, report)
        val current = believed.copy(sequence = report.sequence, phase = report.phase, ramp = ramp)
        return settleFence(settleEnded(dropEndedAttempts(current, report), report, fetchId), report, control)
    }

    /** Units that may be lent now; [declared] are in use under earlier controllers, null if that isn't known. */
    fun freeUnits(
        target: TargetLedger,
        declared: Set<AttemptId>?,
    ): Int {
        if (target.removed || target.bootInDoubt || target.phase != TargetPhase.READY) return 0
        if (target.checksFencing && !target.fenced) return 0
        val unlent = target.unlentUntil != null
        val unknown = unlent || target.ended.any { it.limit == null } || (declared == null && !target.checksFencing)
        if (unknown && target.ramp.cold) return 0
        val earlier = if (target.checksFencing) emptySet() else declared.orEmpty()
        return maxOf(0, target.ramp.bound - earlier.size - outstanding(target, earlier))
    }

    /** Units lent or still in use by ended processes, without attempts [counted] elsewhere. */
    private fun outstanding(
        target: TargetLedger,
        counted: Set<AttemptId>,
    ): Int {
        val lent = target.loans.values.sumOf { it.units }
        val orphaned = target.orphaned.sumOf { it.units(counted) }
        return lent + orphaned + target.ended.sumOf { it.limit ?: 0 }
    }

    /** Counts the units of an ended process until an answer shows what of it still runs. */
    fun holderEnded(
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

    /** Makes the target cold without a report that says so. */
    fun slow(target: TargetLedger): TargetLedger {
        if (target.ramp.cold) return target
        return target.copy(ramp = Ramp(settings.coldRequests, cold = true, suspected = true))
    }

    /** Waits, after a turn to cold, for the requests that daemons send without units because they don't know of it. */
    fun turned(
        before: TargetLedger,
        after: TargetLedger,
        now: Instant,
    ): TargetLedger {
        val refuses = after.checksFencing && before.boot != after.boot
        val turns = after.ramp.cold && !before.ramp.cold
        if (!turns || refuses || settings.unawareFor.isZero) return after
        return after.copy(unlentUntil = now.plus(settings.unawareFor))
    }

    /** Counts what the target runs, once no daemon sends requests without units any more. */
    fun countUnlent(
        target: TargetLedger,
        now: Instant,
    ): TargetLedger {
        if (target.unlentUntil?.let { it <= now } != true) return target
        val fetchId = target.fetchId + 1
        val unknown = EndedUnits(limit = null, fetchId = fetchId)
        return target.copy(unlentUntil = null, ended = target.ended + unknown, fetchId = fetchId)
    }

    /** Whether only an answer from the target itself can free units. */
    fun needsReport(target: TargetLedger): Boolean =
        target.boot == null || target.bootInDoubt || target.ended.isNotEmpty() || target.orphaned.isNotEmpty()

    fun rampRules(target: TargetLedger): RampRules = RampRules(settings, target.warmRequests)

    /** Another boot is believed only from an answer to a question asked after the present one was believed. */
    private fun believeBoot(
        target: TargetLedger,
        report: TargetReport,
        fetchId: Long?,
    ): TargetLedger {
        val proves = fetchId != null && fetchId > target.bootFetch
        if (report.boot == target.boot) return if (proves) target.copy(bootInDoubt = false) else target
        if (!proves) return doubtBoot(target)
        return target.copy(
            boot = report.boot,
            sequence = NOTHING_SEEN,
            fenced = false,
            bootInDoubt = false,
            ramp = rampRules(target).start(report, rebooted = target.boot != null),
            loans = if (target.checksFencing) emptyMap() else target.loans,
            bootFetch = target.fetchId,
        )
    }

    private fun doubtBoot(target: TargetLedger): TargetLedger = if (target.bootInDoubt) {
        target
    } else {
        target.copy(bootInDoubt = true, bootFetch = target.fetchId, fetchId = target.fetchId + 1)
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
        if (!target.checksFencing || target.fenced || report.highestFencingNumber != control) return target
        val running = OrphanedUnits(limit = null, attempts = report.runningAttempts)
        return target.copy(fenced = true, ended = emptyList(), orphaned = listOf(running).filter { it.units() > 0 })
    }

    private companion object {
        const val NOTHING_SEEN = -1L
    }
}
