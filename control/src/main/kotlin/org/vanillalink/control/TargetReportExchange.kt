/*
 * Which targets this daemon asks for reports, and how reports are shared within the failure domain.
 *
 * Each target has one observer. A report that nobody has confirmed for a while is asked for directly, so that a lost
 * observer doesn't make its targets look silent.
 */
package org.vanillalink.control

import org.vanillalink.groups.ReceivedReport
import org.vanillalink.membership.MembershipState
import org.vanillalink.membership.ReportDelta
import org.vanillalink.membership.TargetReportStore
import org.vanillalink.model.DaemonId
import org.vanillalink.model.Host
import org.vanillalink.model.HostId
import org.vanillalink.model.TargetReport
import java.time.Duration
import java.time.Instant

/** Confined to the control thread. */
internal class TargetReportExchange(
    self: DaemonId,
) {
    private var reportStore = TargetReportStore(self)
    private var assignmentHosts: List<HostId> = emptyList()
    private var assignmentDaemons: List<DaemonId> = emptyList()
    private var assignedTargets: Set<HostId> = emptySet()

    /** The targets among [hosts] to ask now. */
    fun targetsToQuery(
        hosts: Collection<Host>,
        membership: MembershipState,
        now: Instant,
    ): List<Host> {
        val assignedTargets = assignTargets(hosts.map { it.id }, membership.activeDaemons)
        return hosts.filter { it.id in assignedTargets || isUnconfirmed(it.id, now) }
    }

    /** Hashing every target again takes longer than all the rest, and the answer hardly ever changes. */
    private fun assignTargets(
        targets: List<HostId>,
        activeDaemons: List<DaemonId>,
    ): Set<HostId> {
        if (targets == assignmentHosts && activeDaemons == assignmentDaemons) return assignedTargets
        assignmentHosts = targets
        assignmentDaemons = activeDaemons
        assignedTargets = reportStore.targetsToQuery(targets, activeDaemons)
        return assignedTargets
    }

    /** Takes a report that a target itself gave. */
    fun recordReport(
        report: TargetReport,
        now: Instant,
    ) {
        reportStore = reportStore.withReport(report, now)
    }

    /** Takes what a peer told; gives the reports that are newer than what was known. */
    fun applyDelta(
        delta: ReportDelta,
        now: Instant,
    ): List<ReceivedReport> {
        reportStore = reportStore.withDelta(delta, now)
        val hosts = delta.changed.map { it.report.host } + delta.stillFresh.keys
        return hosts.distinct().mapNotNull { host ->
            reportStore.report(host, now)?.let { ReceivedReport(it.report, now.minusMillis(it.ageMilliseconds)) }
        }
    }

    /** What [peer] is to be told now. */
    fun buildDelta(
        peer: DaemonId,
        now: Instant,
    ): ReportDelta = reportStore.buildDelta(peer, SHARING_FRESHNESS, now)

    /** [peer] has everything up to [change]. */
    fun acknowledge(
        peer: DaemonId,
        change: Long,
    ) {
        reportStore = reportStore.acknowledge(peer, change)
    }

    /** [peer] has to be told everything again. */
    fun resetAcknowledgement(peer: DaemonId) {
        reportStore = reportStore.resetAcknowledgement(peer)
    }

    private fun isUnconfirmed(
        host: HostId,
        now: Instant,
    ): Boolean {
        val report = reportStore.report(host, now) ?: return true
        return report.ageMilliseconds > MAX_UNCONFIRMED_AGE_MILLISECONDS
    }

    private companion object {
        const val MAX_UNCONFIRMED_AGE_MILLISECONDS = 1_100L
        val SHARING_FRESHNESS: Duration = Duration.ofSeconds(2)
    }
}
