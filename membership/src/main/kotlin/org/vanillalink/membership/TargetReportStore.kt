/*
 * The targets that a daemon queries for reports, and the exchange of reports within its failure domain.
 *
 * A report is sent with its age. Once a peer has acknowledged a report, only a confirmation with the host's name and an
 * age is sent for as long as the target returns the same content.
 */
package org.vanillalink.membership

import org.vanillalink.model.DaemonId
import org.vanillalink.model.Generation
import org.vanillalink.model.GroupId
import org.vanillalink.model.HostId
import org.vanillalink.model.TargetReport
import java.time.Duration
import java.time.Instant

/** A report, which the target last returned or confirmed [ageMilliseconds] ago. */
data class AgedReport(
    val report: TargetReport,
    val ageMilliseconds: Long,
)

/**
 * The target returned an unchanged report [ageMilliseconds] ago. [sequence] is that report's sequence: without it a
 * receiver that has queried the target itself would treat the confirmation as older than its own report.
 */
data class ReportConfirmation(
    val ageMilliseconds: Long,
    val sequence: Long,
)

/**
 * The message of an observer to one peer: reports that changed, and confirmations of unchanged ones.
 * [endedGenerations] are those that the observer saw end by a member's restart, which the controller may have missed.
 */
data class ReportDelta(
    val observer: DaemonId,
    val change: Long,
    val changed: List<AgedReport>,
    val stillFresh: Map<HostId, ReportConfirmation>,
    val endedGenerations: Map<GroupId, Generation> = emptyMap(),
)

/** A stored report; [confirmedAt] is when the target last returned the same content, by this daemon's clock. */
data class ObservedReport(
    val report: TargetReport,
    val confirmedAt: Instant,
    val changeNumber: Long,
)

/**
 * The target reports of one daemon. [observed] reports come from targets that it queries itself, [received] ones from
 * peers. The latter are stored by sender, because a confirmation applies only to the report of the same peer.
 * [acknowledged] is the change count up to which each peer has received all observed reports.
 */
data class TargetReportStore(
    val self: DaemonId,
    val observed: Map<HostId, ObservedReport> = emptyMap(),
    val received: Map<HostId, Map<DaemonId, ObservedReport>> = emptyMap(),
    val changeCount: Long = 0,
    val acknowledged: Map<DaemonId, Long> = emptyMap(),
) {
    /** Returns the targets that this daemon is to query, out of all [targets] of its failure domain. */
    fun targetsToQuery(
        targets: Collection<HostId>,
        activeDaemons: Collection<DaemonId>,
    ): Set<HostId> = RendezvousHash.assignObservers(targets, activeDaemons).filterValues { it == self }.keys

    /** Stores a report that a target returned to this daemon, unless it is older than the stored one. */
    fun withReport(
        report: TargetReport,
        now: Instant,
    ): TargetReportStore {
        val existing = observed[report.host]
        if (existing != null && isOlder(report, now, existing)) return this
        val isUnchanged = existing != null && existing.report.copy(sequence = report.sequence) == report
        val nextChange = if (isUnchanged) changeCount else changeCount + 1
        val stored = ObservedReport(report, now, if (isUnchanged) existing.changeNumber else nextChange)
        return copy(observed = observed + (report.host to stored), changeCount = nextChange)
    }

    /** Builds the message to [peer]; reports not confirmed within [freshness] are left out. */
    fun buildDelta(
        peer: DaemonId,
        freshness: Duration,
        now: Instant,
    ): ReportDelta {
        val peerChange = acknowledged[peer] ?: 0
        val freshReports = observed.filterValues { Duration.between(it.confirmedAt, now) <= freshness }
        val (changed, unchanged) = freshReports.values.partition { it.changeNumber > peerChange }
        return ReportDelta(
            observer = self,
            change = changeCount,
            changed = changed.map { AgedReport(it.report, ageInMilliseconds(it, now)) },
            stillFresh =
                unchanged.associate {
                    it.report.host to
                        ReportConfirmation(ageInMilliseconds(it, now), it.report.sequence)
                },
        )
    }

    /** Records that [peer] has received all reports up to [upToChange]. */
    fun acknowledge(
        peer: DaemonId,
        upToChange: Long,
    ): TargetReportStore = copy(acknowledged = acknowledged + (peer to maxOf(acknowledged[peer] ?: 0, upToChange)))

    /** Clears what [peer] acknowledged after it restarted or was lost, so that it is sent all reports again. */
    fun resetAcknowledgement(peer: DaemonId): TargetReportStore = copy(acknowledged = acknowledged - peer)

    /** Stores a peer's reports and confirmations, ignoring older ones and confirmations without a stored report. */
    fun withDelta(
        delta: ReportDelta,
        now: Instant,
    ): TargetReportStore {
        val reports = LinkedHashMap(received)
        delta.changed.forEach { storeIfNewer(reports, delta.observer, it, now) }
        delta.stillFresh.forEach { (host, confirmation) ->
            applyConfirmation(reports, delta.observer, host, confirmation, now)
        }
        return copy(received = reports)
    }

    /** Returns the most recently confirmed report of [host] and its age; null if there is none. */
    fun report(
        host: HostId,
        now: Instant,
    ): AgedReport? {
        val peerReports = received[host]?.values.orEmpty()
        val newest = (peerReports + listOfNotNull(observed[host])).maxByOrNull { it.confirmedAt } ?: return null
        return AgedReport(newest.report, ageInMilliseconds(newest, now))
    }

    private fun storeIfNewer(
        reports: MutableMap<HostId, Map<DaemonId, ObservedReport>>,
        observer: DaemonId,
        aged: AgedReport,
        now: Instant,
    ) {
        val host = aged.report.host
        val peerReports = reports[host].orEmpty()
        val existing = peerReports[observer]
        val confirmedAt = now.minusMillis(aged.ageMilliseconds)
        if (existing != null && isOlder(aged.report, confirmedAt, existing)) return
        val retained = peerReports.filterValues { it.confirmedAt.plus(PEER_REPORT_RETENTION) > now }
        reports[host] = retained + (observer to ObservedReport(aged.report, confirmedAt, changeNumber = 0))
    }

    private fun isOlder(
        report: TargetReport,
        confirmedAt: Instant,
        existing: ObservedReport,
    ): Boolean {
        if (report.boot == existing.report.boot) return report.sequence <= existing.report.sequence
        return confirmedAt <= existing.confirmedAt
    }

    private fun applyConfirmation(
        reports: MutableMap<HostId, Map<DaemonId, ObservedReport>>,
        observer: DaemonId,
        host: HostId,
        confirmation: ReportConfirmation,
        now: Instant,
    ) {
        val peerReports = reports[host].orEmpty()
        val existing = peerReports[observer] ?: return
        if (confirmation.sequence <= existing.report.sequence) return
        val report = existing.report.copy(sequence = confirmation.sequence)
        val confirmedAt = maxOf(existing.confirmedAt, now.minusMillis(confirmation.ageMilliseconds))
        reports[host] = peerReports + (observer to existing.copy(report = report, confirmedAt = confirmedAt))
    }

    private fun ageInMilliseconds(
        report: ObservedReport,
        now: Instant,
    ): Long = Duration.between(report.confirmedAt, now).toMillis()

    private companion object {
        /** A peer's report older than this is dropped when a peer sends a changed report of the same target. */
        val PEER_REPORT_RETENTION: Duration = Duration.ofSeconds(30)
    }
}
