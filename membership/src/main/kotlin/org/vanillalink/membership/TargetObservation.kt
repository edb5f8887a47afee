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
data class Confirmation(
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
    val stillFresh: Map<HostId, Confirmation>,
    val endedGenerations: Map<GroupId, Generation> = emptyMap(),
)

/** A report as this daemon keeps it; [confirmedAt] is when the target last said the same, by this daemon's clock. */
data class ObservedReport(
    val report: TargetReport,
    val confirmedAt: Instant,
    val change: Long,
)

/**
 * The reports that one daemon has. [observed] come from targets that it asks itself, [received] from peers, each kept
 * by who told it, as a confirmation is of that peer's report and of no other.
 * [acknowledged] is the change up to which each peer has all observed reports.
 */
data class TargetObservation(
    val self: DaemonId,
    val observed: Map<HostId, ObservedReport> = emptyMap(),
    val received: Map<HostId, Map<DaemonId, ObservedReport>> = emptyMap(),
    val change: Long = 0,
    val acknowledged: Map<DaemonId, Long> = emptyMap(),
) {
    /** The targets that this daemon is to ask, out of all [targets] of its failure domain. */
    fun targetsToAsk(
        targets: Collection<HostId>,
        activeDaemons: Collection<DaemonId>,
    ): Set<HostId> = Rendezvous.observers(targets, activeDaemons).filterValues { it == self }.keys

    /** Takes a report that a target gave this daemon. */
    fun withAnswer(
        report: TargetReport,
        now: Instant,
    ): TargetObservation {
        val present = observed[report.host]
        if (present != null && isOlder(report, now, present)) return this
        val same = present != null && present.report.copy(sequence = report.sequence) == report
        val next = if (same) change else change + 1
        val kept = ObservedReport(report, now, if (same) present.change else next)
        return copy(observed = observed + (report.host to kept), change = next)
    }

    /** What [peer] is to be told; hosts not confirmed within [freshness] are left out. */
    fun deltaFor(
        peer: DaemonId,
        freshness: Duration,
        now: Instant,
    ): ReportDelta {
        val known = acknowledged[peer] ?: 0
        val fresh = observed.filterValues { Duration.between(it.confirmedAt, now) <= freshness }
        val (changed, same) = fresh.values.partition { it.change > known }
        return ReportDelta(
            observer = self,
            change = change,
            changed = changed.map { AgedReport(it.report, age(it, now)) },
            stillFresh = same.associate { it.report.host to Confirmation(age(it, now), it.report.sequence) },
        )
    }

    /** [peer] has everything up to [upTo]. */
    fun acknowledgedBy(
        peer: DaemonId,
        upTo: Long,
    ): TargetObservation = copy(acknowledged = acknowledged + (peer to maxOf(acknowledged[peer] ?: 0, upTo)))

    /** [peer] restarted or was lost: it is told everything again. */
    fun forgetting(peer: DaemonId): TargetObservation = copy(acknowledged = acknowledged - peer)

    /** Takes what a peer told; nothing gets older by it, and an unknown host that is still fresh says nothing. */
    fun withDelta(
        delta: ReportDelta,
        now: Instant,
    ): TargetObservation {
        val reports = LinkedHashMap(received)
        delta.changed.forEach { takeNewer(reports, delta.observer, it, now) }
        delta.stillFresh.forEach { (host, confirmation) -> confirm(reports, delta.observer, host, confirmation, now) }
        return copy(received = reports)
    }

    /** The newest report of [host] and its age; null where there is none. */
    fun report(
        host: HostId,
        now: Instant,
    ): AgedReport? {
        val told = received[host]?.values.orEmpty()
        val best = (told + listOfNotNull(observed[host])).maxByOrNull { it.confirmedAt } ?: return null
        return AgedReport(best.report, age(best, now))
    }

    private fun takeNewer(
        reports: MutableMap<HostId, Map<DaemonId, ObservedReport>>,
        observer: DaemonId,
        aged: AgedReport,
        now: Instant,
    ) {
        val host = aged.report.host
        val told = reports[host].orEmpty()
        val present = told[observer]
        val confirmedAt = now.minusMillis(aged.ageMilliseconds)
        if (present != null && isOlder(aged.report, confirmedAt, present)) return
        val recent = told.filterValues { it.confirmedAt.plus(KEPT_FOR) > now }
        reports[host] = recent + (observer to ObservedReport(aged.report, confirmedAt, change = 0))
    }

    private fun isOlder(
        report: TargetReport,
        confirmedAt: Instant,
        present: ObservedReport,
    ): Boolean {
        if (report.boot == present.report.boot) return report.sequence <= present.report.sequence
        return confirmedAt <= present.confirmedAt
    }

    private fun confirm(
        reports: MutableMap<HostId, Map<DaemonId, ObservedReport>>,
        observer: DaemonId,
        host: HostId,
        confirmation: Confirmation,
        now: Instant,
    ) {
        val told = reports[host].orEmpty()
        val present = told[observer] ?: return
        if (confirmation.sequence <= present.report.sequence) return
        val report = present.report.copy(sequence = confirmation.sequence)
        val confirmedAt = maxOf(present.confirmedAt, now.minusMillis(confirmation.ageMilliseconds))
        reports[host] = told + (observer to present.copy(report = report, confirmedAt = confirmedAt))
    }

    private fun age(
        report: ObservedReport,
        now: Instant,
    ): Long = Duration.between(report.confirmedAt, now).toMillis()

    private companion object {
        /** What a peer told is dropped when another one tells of the target and this much time has passed. */
        val KEPT_FOR: Duration = Duration.ofSeconds(30)
    }
}
