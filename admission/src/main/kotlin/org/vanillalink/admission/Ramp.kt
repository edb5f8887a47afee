/*
 * The number of concurrent requests that a target may run, derived from its reports.
 */
package org.vanillalink.admission

import org.vanillalink.model.TargetReport
import java.time.Duration
import kotlin.math.ceil
import kotlin.math.max
import kotlin.math.min

/**
 * The current [bound] of a target. [referenceRate] is its highest rate so far in tokens per second and request, 0.0
 * while unknown. [isColdAssumed] is set when the target is treated as cold although its report doesn't say so.
 */
data class Ramp(
    val bound: Int,
    val cold: Boolean,
    val isColdAssumed: Boolean = false,
    val goodReports: Int = 0,
    val referenceRate: Double = 0.0,
)

/** Computes how a [Ramp] changes with reports; [warmRequests] is the bound of a warm target. */
internal class RampRules(
    private val settings: AdmissionSettings,
    private val warmRequests: Int,
) {
    /** The initial bound for [report]; [rebooted] if the target ran in another boot before. */
    fun startRamp(
        report: TargetReport,
        rebooted: Boolean,
    ): Ramp {
        val cold = report.cold || rebooted
        return Ramp(if (cold) coldBound(report) else warmBound(report), cold, isColdAssumed = cold && !report.cold)
    }

    /** The bound after [report], a later one of the same boot. */
    fun updateRamp(
        ramp: Ramp,
        report: TargetReport,
    ): Ramp {
        if (report.cold && (!ramp.cold || ramp.isColdAssumed)) return startRamp(report, rebooted = false)
        val running = report.runningAttempts.size
        val rate = if (running == 0) 0.0 else report.tokensPerSecond / running
        val judgement = judgeRate(ramp, rate)
        if (judgement == Judgement.COLD && !ramp.cold) return Ramp(coldBound(report), cold = true, isColdAssumed = true)
        if (!report.cold && !ramp.isColdAssumed) return warmRamp(ramp, report, rate)
        return limitToReported(adjustBound(ramp, running, rate, judgement), report)
    }

    /** Estimates how long the bound takes to reach [targetBound] at the configured growth under full load. */
    fun timeToReach(
        ramp: Ramp,
        targetBound: Int,
    ): Duration {
        var bound = ramp.bound
        var steps = 0L
        while (bound < min(targetBound, warmRequests)) {
            bound = nextBound(bound)
            steps++
        }
        return settings.ramp.reportInterval.multipliedBy(max(1, steps * settings.ramp.reportsPerStep))
    }

    private fun warmRamp(
        ramp: Ramp,
        report: TargetReport,
        rate: Double,
    ): Ramp = Ramp(warmBound(report), cold = false, referenceRate = updatedReference(ramp, rate))

    private fun adjustBound(
        ramp: Ramp,
        running: Int,
        rate: Double,
        judgement: Judgement,
    ): Ramp {
        if (judgement == Judgement.DEGRADED || judgement == Judgement.COLD) {
            return ramp.copy(bound = max(min(settings.coldRequests, ramp.bound), ramp.bound - 1), goodReports = 0)
        }
        val isLoaded = rate > 0.0 && running >= ramp.bound * settings.ramp.loadedFraction
        val goodReports = if (isLoaded) ramp.goodReports + 1 else ramp.goodReports
        val steady = ramp.copy(goodReports = goodReports, referenceRate = updatedReference(ramp, rate))
        if (goodReports < settings.ramp.reportsPerStep) return steady
        val bound = nextBound(ramp.bound)
        val hasWarmedUp = ramp.isColdAssumed && bound >= warmRequests
        return steady.copy(
            bound = bound,
            goodReports = 0,
            cold = !hasWarmedUp,
            isColdAssumed =
                ramp.isColdAssumed && !hasWarmedUp,
        )
    }

    private fun limitToReported(
        ramp: Ramp,
        report: TargetReport,
    ): Ramp = report.bearableRequests?.let { ramp.copy(bound = min(ramp.bound, it)) } ?: ramp

    private fun judgeRate(
        ramp: Ramp,
        rate: Double,
    ): Judgement = when {
        rate == 0.0 || ramp.referenceRate == 0.0 -> Judgement.UNKNOWN
        rate < ramp.referenceRate * settings.ramp.coldFraction -> Judgement.COLD
        rate < ramp.referenceRate * settings.ramp.healthyFraction -> Judgement.DEGRADED
        else -> Judgement.HEALTHY
    }

    private fun updatedReference(
        ramp: Ramp,
        rate: Double,
    ): Double = if (rate == 0.0) ramp.referenceRate else max(ramp.referenceRate, rate)

    private fun nextBound(bound: Int): Int =
        min(max(warmRequests, bound), max(bound + 1, ceil(bound * settings.ramp.growthFactor).toInt()))

    private fun coldBound(report: TargetReport): Int =
        min(report.bearableRequests ?: settings.coldRequests, warmRequests)

    private fun warmBound(report: TargetReport): Int = min(report.bearableRequests ?: warmRequests, warmRequests)

    private enum class Judgement { UNKNOWN, HEALTHY, DEGRADED, COLD }
}
