/*
 * The latest report of each target with the time at which it was received.
 *
 * Reports arrive late, twice and out of order. Within one boot the greatest sequence wins; a boot that was followed by
 * another never comes back.
 */
package org.vanillalink.groups

import org.vanillalink.model.BootId
import org.vanillalink.model.HostId
import org.vanillalink.model.TargetReport
import java.time.Duration
import java.time.Instant

/** A report and the time at which a daemon asked the target itself for it, which is never later than the truth. */
data class ReceivedReport(
    val report: TargetReport,
    val receivedAt: Instant,
) {
    /** Whether this is still evidence at [now]. */
    fun isFresh(
        now: Instant,
        reportFresh: Duration,
    ): Boolean = receivedAt.plus(reportFresh) >= now
}

/** The latest reports by host; [endedBoots] are the last few boots of each host that were followed by another. */
data class ReportBook(
    val latest: Map<HostId, ReceivedReport> = emptyMap(),
    val endedBoots: Map<HostId, List<BootId>> = emptyMap(),
) {
    /** The book with [received], or this one where it is older than what is known. */
    fun with(received: ReceivedReport): ReportBook {
        val host = received.report.host
        val known = latest[host] ?: return copy(latest = latest + (host to received))
        val sameBoot = known.report.boot == received.report.boot
        if (sameBoot && !isNewer(received, known)) return this
        if (received.report.boot in endedBoots[host].orEmpty()) return this
        val ended = if (sameBoot) endedBoots else endedBoots + (host to endedWith(host, known.report.boot))
        return ReportBook(latest + (host to received), ended)
    }

    /** The same report may come again with a later time: the target confirmed it to the peer that passes it on. */
    private fun isNewer(
        received: ReceivedReport,
        known: ReceivedReport,
    ): Boolean {
        if (received.report.sequence != known.report.sequence) return received.report.sequence > known.report.sequence
        return received.receivedAt > known.receivedAt
    }

    /** The report of [host] if it is still evidence at [now]. */
    fun fresh(
        host: HostId,
        now: Instant,
        reportFresh: Duration,
    ): TargetReport? = latest[host]?.takeIf { it.isFresh(now, reportFresh) }?.report

    private fun endedWith(
        host: HostId,
        boot: BootId,
    ): List<BootId> = (endedBoots[host].orEmpty() + boot).takeLast(BOOTS_KEPT)

    private companion object {
        const val BOOTS_KEPT = 4
    }
}
