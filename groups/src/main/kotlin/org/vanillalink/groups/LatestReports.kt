/*
 * The latest report of each target, with the time at which it was received.
 *
 * Reports can be delayed, duplicated and reordered. Within one boot the greatest sequence number wins; reports of a
 * boot that was followed by another are ignored.
 */
package org.vanillalink.groups

import org.vanillalink.model.BootId
import org.vanillalink.model.HostId
import org.vanillalink.model.TargetReport
import java.time.Duration
import java.time.Instant

/** A report and the time at which a daemon queried the target for it, never later than the time of the report. */
data class ReceivedReport(
    val report: TargetReport,
    val receivedAt: Instant,
) {
    /** Whether the report is still valid as evidence at [now]. */
    fun isFresh(
        now: Instant,
        maxAge: Duration,
    ): Boolean = receivedAt.plus(maxAge) >= now
}

/** The latest reports by host; [endedBoots] are the last few boots of each host that were followed by another. */
data class LatestReports(
    val byHost: Map<HostId, ReceivedReport> = emptyMap(),
    val endedBoots: Map<HostId, List<BootId>> = emptyMap(),
) {
    /** Returns these reports with [received], or unchanged if it is older than the latest report of its host. */
    fun withReport(received: ReceivedReport): LatestReports {
        val host = received.report.host
        val latest = byHost[host] ?: return copy(byHost = byHost + (host to received))
        val sameBoot = latest.report.boot == received.report.boot
        if (sameBoot && !isNewer(received, latest)) return this
        if (received.report.boot in endedBoots[host].orEmpty()) return this
        val ended = if (sameBoot) endedBoots else endedBoots + (host to appendEndedBoot(host, latest.report.boot))
        return LatestReports(byHost + (host to received), ended)
    }

    /** The same report can arrive again with a later time: the target confirmed it to the peer that forwards it. */
    private fun isNewer(
        received: ReceivedReport,
        latest: ReceivedReport,
    ): Boolean {
        if (received.report.sequence != latest.report.sequence) return received.report.sequence > latest.report.sequence
        return received.receivedAt > latest.receivedAt
    }

    /** The report of [host] if it is still valid as evidence at [now], or null. */
    fun freshReport(
        host: HostId,
        now: Instant,
        maxAge: Duration,
    ): TargetReport? = byHost[host]?.takeIf { it.isFresh(now, maxAge) }?.report

    private fun appendEndedBoot(
        host: HostId,
        boot: BootId,
    ): List<BootId> = (endedBoots[host].orEmpty() + boot).takeLast(MAX_ENDED_BOOTS)

    private companion object {
        const val MAX_ENDED_BOOTS = 4
    }
}
