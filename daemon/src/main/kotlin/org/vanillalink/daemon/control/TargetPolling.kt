/*
 * Asks targets for their reports and the platform for its host list.
 */
package org.vanillalink.daemon.control

import org.vanillalink.control.DaemonDecision
import org.vanillalink.control.DaemonEvent
import org.vanillalink.groups.ReceivedReport
import org.vanillalink.model.FailureDomainId
import org.vanillalink.store.HostList
import org.vanillalink.targets.TargetClient
import java.time.Clock

/** Feeds reports and host lists to [loop]. */
class TargetPolling(
    private val loop: ControlLoop,
    private val targets: TargetClient,
    private val hosts: HostList,
    private val failureDomain: FailureDomainId,
    private val clock: Clock,
) : DecisionExecutor {
    override fun execute(decision: DaemonDecision) {
        if (decision !is DaemonDecision.FetchReport) return
        val askedAt = clock.instant()
        targets.fetchReport(decision.endpoint).thenAccept { answer ->
            answer.onRight { report ->
                val own = report.host == decision.host
                if (own) loop.tell(DaemonEvent.ReportReceived(ReceivedReport(report, askedAt)))
            }
        }
    }

    /** Reads the host list. */
    fun readHosts() {
        hosts.hosts(failureDomain).thenAccept { answer -> answer.onRight { loop.tell(DaemonEvent.HostsListed(it)) } }
    }
}
