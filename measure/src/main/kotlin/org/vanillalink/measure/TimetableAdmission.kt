/*
 * The simplest admission, as a baseline: each daemon limits by itself, and doubles its limit by the clock.
 */
package org.vanillalink.measure

import org.vanillalink.model.AttemptId
import org.vanillalink.model.BootId
import org.vanillalink.model.DaemonId
import org.vanillalink.model.FencingNumber
import org.vanillalink.model.HostId
import org.vanillalink.model.TargetReport
import org.vanillalink.testing.Scenario
import java.time.Duration
import java.time.Instant

/** Limits each daemon by a fixed timetable from when a boot was first seen. */
internal class TimetableAdmission(
    private val scenario: Scenario,
    private val delay: () -> Duration,
) : AdmissionPolicy {
    private val firstSeen = mutableMapOf<HostId, Pair<BootId, Instant>>()
    private val inUse = mutableMapOf<Pair<DaemonId, HostId>, Int>()
    private var sent = 0

    override fun request(
        daemon: DaemonId,
        target: AdmissionTarget,
    ) {
        val (boot, since) = firstSeen[target.host] ?: return
        val key = daemon to target.host
        if (inUse.getOrDefault(key, 0) >= limit(since)) return
        inUse.merge(key, 1, Int::plus)
        val attempt = AttemptId("t${sent++}")
        scenario.after(delay()) {
            target.run(attempt, boot, FencingNumber(Long.MAX_VALUE)) { inUse.merge(key, -1, Int::plus) }
        }
    }

    override fun reported(report: TargetReport) {
        if (firstSeen[report.host]?.first != report.boot) firstSeen[report.host] = report.boot to scenario.now
    }

    override fun restart(daemon: DaemonId) = inUse.keys.filter { it.first == daemon }.forEach { inUse[it] = 0 }

    override fun pause(
        daemon: DaemonId,
        duration: Duration,
    ) = Unit

    override fun tick() = Unit

    private fun limit(since: Instant): Int {
        val steps = Duration.between(since, scenario.now).dividedBy(STEP).toInt()
        return minOf(AdmissionTarget.WARM_REQUESTS, AdmissionTarget.COLD_REQUESTS shl minOf(steps, MOST_STEPS))
    }

    private companion object {
        val STEP: Duration = Duration.ofSeconds(2)
        const val MOST_STEPS = 8
    }
}
