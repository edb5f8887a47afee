/*
 * Which targets a daemon asks for reports, and how it passes the reports on within its failure domain.
 *
 * A report travels with its age. Once a peer has a report, only the host's name is repeated while asking the target
 * again gives the same content; the name then says that the report is as fresh as the message's age for it.
 */
package org.vanillalink.membership

import org.vanillalink.model.DaemonId
import org.vanillalink.model.Generation
import org.vanillalink.model.GroupId
import org.vanillalink.model.HostId
import org.vanillalink.model.TargetReport
import java.time.Duration
import java.time.Instant

/** A report with the age of its content and how long ago the target last confirmed it. */
data class AgedReport(
    val report: TargetReport,
    val ageMilliseconds: Long,
)

/**
 * That a target said the same again, [ageMilliseconds] ago. [sequence] is that answer's: without it a receiver that has
 * asked the target itself would take the confirmation for older than what it has.
 */
data class ReportConfirmation(
    val ageMilliseconds: Long,
    val sequence: Long,
)

/**
 * What an observer tells one peer: reports that changed, and those that the target confirmed unchanged.
 * [endedGenerations] are those that the observer saw end by a member's restart; the controller may not have seen it.
 */
data class ReportDelta(
    val observer: DaemonId,
    val change: Long,
    val changed: List<AgedReport>,
    val stillFresh: Map<HostId, ReportConfirmation>,
    val endedGenerations: Map<GroupId, Generation> = emptyMap(),
)

/** A report as this daemon keeps it; [confirmedAt] is when the target last said the same, by this daemon's clock. */
data class ObservedReport(
    val report: TargetReport,
    val confirmedAt: Instant,
    val changeNumber: Long,
)

/**
 * The reports that one daemon has. [observed] come from targets that it asks itself, [received] from peers, each kept
 * by who told it, as a confirmation is of that peer's report and of no other.
 * [acknowledged] is the change up to which each peer has all observed reports.
 */
data class TargetReportStore(
    val self: DaemonId,
    val observed: Map<HostId, ObservedReport> = emptyMap(),
    val received: Map<HostId, Map<DaemonId, ObservedReport>> = emptyMap(),
    val changeCount: Long = 0,
    val acknowledged: Map<DaemonId, Long> = emptyMap(),
) {
    /** The targets that this daemon is to ask, out of all [targets] of its failure domain. */
    fun targetsToQuery(
        targets: Collection<HostId>,
        activeDaemons: Collection<DaemonId>,
    ): Set<HostId> = RendezvousHash.assignObservers(targets, activeDaemons).filterValues { it == self }.keys

    /** Takes a report that a target gave this daemon. */
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

    /** What [peer] is to be told; hosts not confirmed within [freshness] are left out. */
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

    /** [peer] has everything up to [upTo]. */
    fun acknowledge(
        peer: DaemonId,
        upToChange: Long,
    ): TargetReportStore = copy(acknowledged = acknowledged + (peer to maxOf(acknowledged[peer] ?: 0, upToChange)))

    /** [peer] restarted or was lost: it is told everything again. */
    fun resetAcknowledgement(peer: DaemonId): TargetReportStore = copy(acknowledged = acknowledged - peer)

    /** Takes what a peer told; nothing gets older by it, and an unknown host that is still fresh says nothing. */
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

    /** The newest report of [host] and its age; null where there is none. */
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
        /** What a peer told is dropped when another one tells of the target and this much time has passed. */
        val PEER_REPORT_RETENTION: Duration = Duration.ofSeconds(30)
    }
}
