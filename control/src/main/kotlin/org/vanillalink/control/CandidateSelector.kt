/*
 * Which targets of the own failure domain the router may use, and what they bear.
 */
package org.vanillalink.control

import org.vanillalink.configuration.ConfigurationDocument
import org.vanillalink.configuration.ServiceKind
import org.vanillalink.configuration.ServiceSettings
import org.vanillalink.groups.ReceivedReport
import org.vanillalink.groups.ServingState
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.Host
import org.vanillalink.model.HostId
import org.vanillalink.model.HostStatus
import org.vanillalink.model.ServiceName
import org.vanillalink.model.TargetPhase
import org.vanillalink.routing.ReportedLoad
import org.vanillalink.routing.TargetCandidate
import java.time.Duration
import java.time.Instant

internal class CandidateSelector(
    private val failureDomain: FailureDomainId,
) {
    fun select(
        service: ServiceName,
        document: ConfigurationDocument,
        hosts: Map<HostId, Host>,
        serving: ServingState,
        now: Instant,
    ): List<TargetCandidate> {
        val settings = document.services.getValue(service)
        val freshness = Duration.ofMillis(document.targets.reportFreshMilliseconds)
        return when (settings.kind) {
            ServiceKind.MODEL -> {
                serving.servingGroups(service).mapNotNull { group ->
                    val received = serving.reports.byHost[group.members.first()] ?: return@mapNotNull null
                    val leaving = group.members.any { isLeaving(hosts[it]) }
                    candidate(service, settings, document, received, leaving, group.group in serving.stragglers)
                }
            }

            ServiceKind.PLAIN -> {
                hosts.values.filter { it.service == service && it.failureDomain == failureDomain }.mapNotNull { host ->
                    val report = serving.reports.byHost[host.id]?.takeIf { it.isFresh(now, freshness) }
                    val readyReport = report?.takeIf { it.report.phase == TargetPhase.READY } ?: return@mapNotNull null
                    candidate(service, settings, document, readyReport, isLeaving(host), straggler = false)
                }
            }
        }
    }

    private fun candidate(
        service: ServiceName,
        settings: ServiceSettings,
        document: ConfigurationDocument,
        received: ReceivedReport,
        leaving: Boolean,
        straggler: Boolean,
    ): TargetCandidate {
        val report = received.report
        val bearable = report.bearableRequests ?: document.targets.coldRequests.takeIf { report.cold }
        return TargetCandidate(
            host = report.host,
            boot = report.boot,
            service = service,
            failureDomain = failureDomain,
            capacity = minOf(settings.requestsPerGroup, bearable ?: settings.requestsPerGroup),
            leaving = leaving,
            straggler = straggler,
            load =
                ReportedLoad(
                    running = report.runningAttempts.size,
                    queued = report.queuedRequests,
                    freeCacheFraction = report.freeCacheFraction,
                    reportedAt = received.receivedAt,
                ),
        )
    }

    private fun isLeaving(host: Host?): Boolean = host == null || host.status == HostStatus.LEAVING
}
