/*
 * How many requests at once a target is trusted with, by what its reports show.
 */
package org.vanillalink.admission

import org.vanillalink.model.TargetReport
import java.time.Duration
import kotlin.math.ceil
import kotlin.math.max
import kotlin.math.min

/**
 * The present [bound] of a target. [referenceRate] is tokens per second and request when it ran well, 0.0 while
 * unknown. [suspected] is set when the target counts as cold although its report doesn't say so.
 */
data class Ramp(
    val bound: Int,
    val cold: Boolean,
    val suspected: Boolean = false,
    val goodReports: Int = 0,
    val referenceRate: Double = 0.0,
)

/** The rules by which a [Ramp] changes; [warmRequests] is the bound of a warm target. */
internal class RampRules(
    private val settings: AdmissionSettings,
    private val warmRequests: Int,
) {
    /** The first bound for [report]; [rebooted] if the target ran in another boot before. */
    fun start(
        report: TargetReport,
        rebooted: Boolean,
    ): Ramp {
        val cold = report.cold || rebooted
        return Ramp(if (cold) coldBound(report) else warmBound(report), cold, suspected = cold && !report.cold)
    }

    /** The bound after [report], a later one of the same boot. */
    fun next(
        ramp: Ramp,
        report: TargetReport,
    ): Ramp {
        if (report.cold && (!ramp.cold || ramp.suspected)) return start(report, rebooted = false)
        val running = report.runningAttempts.size
        val rate = if (running == 0) 0.0 else report.tokensPerSecond / running
        val judged = judge(ramp, rate)
        if (judged == Judgement.COLD && !ramp.cold) return Ramp(coldBound(report), cold = true, suspected = true)
        if (!report.cold && !ramp.suspected) return warm(ramp, report, rate)
        return told(climb(ramp, running, rate, judged), report)
    }

    /** An estimate of how long the bound takes to reach [wanted], by the settings' growth under full load. */
    fun timeTo(
        ramp: Ramp,
        wanted: Int,
    ): Duration {
        var bound = ramp.bound
        var steps = 0L
        while (bound < min(wanted, warmRequests)) {
            bound = grown(bound)
            steps++
        }
        return settings.ramp.reportInterval.multipliedBy(max(1, steps * settings.ramp.reportsPerStep))
    }

    private fun warm(
        ramp: Ramp,
        report: TargetReport,
        rate: Double,
    ): Ramp = Ramp(warmBound(report), cold = false, referenceRate = reference(ramp, rate))

    private fun climb(
        ramp: Ramp,
        running: Int,
        rate: Double,
        judged: Judgement,
    ): Ramp {
        if (judged == Judgement.DEGRADED || judged == Judgement.COLD) {
            return ramp.copy(bound = max(min(settings.coldRequests, ramp.bound), ramp.bound - 1), goodReports = 0)
        }
        val loaded = rate > 0.0 && running >= ramp.bound * settings.ramp.loadedFraction
        val goodReports = if (loaded) ramp.goodReports + 1 else ramp.goodReports
        val steady = ramp.copy(goodReports = goodReports, referenceRate = reference(ramp, rate))
        if (goodReports < settings.ramp.reportsPerStep) return steady
        val bound = grown(ramp.bound)
        val climbed = ramp.suspected && bound >= warmRequests
        return steady.copy(bound = bound, goodReports = 0, cold = !climbed, suspected = ramp.suspected && !climbed)
    }

    private fun told(
        ramp: Ramp,
        report: TargetReport,
    ): Ramp = report.bearableRequests?.let { ramp.copy(bound = min(ramp.bound, it)) } ?: ramp

    private fun judge(
        ramp: Ramp,
        rate: Double,
    ): Judgement = when {
        rate == 0.0 || ramp.referenceRate == 0.0 -> Judgement.UNKNOWN
        rate < ramp.referenceRate * settings.ramp.coldFraction -> Judgement.COLD
        rate < ramp.referenceRate * settings.ramp.healthyFraction -> Judgement.DEGRADED
        else -> Judgement.HEALTHY
    }

    private fun reference(
        ramp: Ramp,
        rate: Double,
    ): Double = if (rate == 0.0) ramp.referenceRate else max(ramp.referenceRate, rate)

    private fun grown(bound: Int): Int =
        min(max(warmRequests, bound), max(bound + 1, ceil(bound * settings.ramp.growthFactor).toInt()))

    private fun coldBound(report: TargetReport): Int =
        min(report.bearableRequests ?: settings.coldRequests, warmRequests)

    private fun warmBound(report: TargetReport): Int = min(report.bearableRequests ?: warmRequests, warmRequests)

    private enum class Judgement { UNKNOWN, HEALTHY, DEGRADED, COLD }
}
