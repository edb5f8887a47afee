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
internal class TargetReports(
    self: DaemonId,
) {
    private var observation = TargetReportStore(self)
    private var assignedOf: List<HostId> = emptyList()
    private var assignedAmong: List<DaemonId> = emptyList()
    private var assigned: Set<HostId> = emptySet()

    /** The targets among [hosts] to ask now. */
    fun toAsk(
        hosts: Collection<Host>,
        membership: MembershipState,
        now: Instant,
    ): List<Host> {
        val assigned = assigned(hosts.map { it.id }, membership.activeDaemons)
        return hosts.filter { it.id in assigned || isUnconfirmed(it.id, now) }
    }

    /** Hashing every target again takes longer than all the rest, and the answer hardly ever changes. */
    private fun assigned(
        targets: List<HostId>,
        heardDaemons: List<DaemonId>,
    ): Set<HostId> {
        if (targets == assignedOf && heardDaemons == assignedAmong) return assigned
        assignedOf = targets
        assignedAmong = heardDaemons
        assigned = observation.targetsToQuery(targets, heardDaemons)
        return assigned
    }

    /** Takes a report that a target itself gave. */
    fun answered(
        report: TargetReport,
        now: Instant,
    ) {
        observation = observation.withReport(report, now)
    }

    /** Takes what a peer told; gives the reports that are newer than what was known. */
    fun received(
        delta: ReportDelta,
        now: Instant,
    ): List<ReceivedReport> {
        observation = observation.withDelta(delta, now)
        val hosts = delta.changed.map { it.report.host } + delta.stillFresh.keys
        return hosts.distinct().mapNotNull { host ->
            observation.report(host, now)?.let { ReceivedReport(it.report, now.minusMillis(it.ageMilliseconds)) }
        }
    }

    /** What [peer] is to be told now. */
    fun deltaFor(
        peer: DaemonId,
        now: Instant,
    ): ReportDelta = observation.buildDelta(peer, SHARED_FOR, now)

    /** [peer] has everything up to [change]. */
    fun acknowledged(
        peer: DaemonId,
        change: Long,
    ) {
        observation = observation.acknowledge(peer, change)
    }

    /** [peer] has to be told everything again. */
    fun forget(peer: DaemonId) {
        observation = observation.resetAcknowledgement(peer)
    }

    private fun isUnconfirmed(
        host: HostId,
        now: Instant,
    ): Boolean {
        val report = observation.report(host, now) ?: return true
        return report.ageMilliseconds > UNCONFIRMED_MILLISECONDS
    }

    private companion object {
        const val UNCONFIRMED_MILLISECONDS = 1_100L
        val SHARED_FOR: Duration = Duration.ofSeconds(2)
    }
}
