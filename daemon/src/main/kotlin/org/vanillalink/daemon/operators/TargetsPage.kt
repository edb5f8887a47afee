/*
 * The targets of the daemon's failure domain, and why each that gets no work doesn't.
 */
package org.vanillalink.daemon.operators

import org.vanillalink.configuration.FailureDomainState
import org.vanillalink.control.DaemonControl
import org.vanillalink.groups.GroupDescription
import org.vanillalink.groups.ReceivedReport
import org.vanillalink.model.Assignment
import org.vanillalink.model.Host
import org.vanillalink.model.HostRole
import org.vanillalink.model.HostStatus
import org.vanillalink.model.TargetPhase
import org.vanillalink.transport.HttpRequestMessage
import org.vanillalink.transport.ResponseWriter
import java.time.Clock
import java.time.Duration
import java.time.Instant

internal class TargetsPage(
    private val pages: StatusPages,
    private val clock: Clock,
) : OperatorsPage {
    override fun handle(
        request: HttpRequestMessage,
        response: ResponseWriter,
    ) = pages.answer(response, ::describe)

    private fun describe(control: DaemonControl): TargetsAnswer {
        val identity = control.membershipState.identity
        val now = clock.instant()
        val own = control.listedHosts.filter { it.failureDomain == identity.failureDomain }
        return TargetsAnswer(
            identity.daemon.value,
            identity.failureDomain.value,
            own.map { describe(it, control, now) }.sortedBy { it.host },
        )
    }

    private fun describe(
        host: Host,
        control: DaemonControl,
        now: Instant,
    ): TargetAnswer {
        val received = control.servingState.reports.byHost[host.id]
        val report = received?.report
        val assignment = report?.assignment
        return TargetAnswer(
            host = host.id.value,
            endpoint = host.endpoint,
            failureDomain = host.failureDomain.value,
            fabricDomain = host.fabricDomain.value,
            role = host.role.name,
            service = (host.service ?: assignment?.service)?.value,
            group = assignment?.group?.value,
            generation = assignment?.generation?.toString(),
            rank = assignment?.rank,
            phase = report?.phase?.name,
            cold = report?.cold,
            bearableRequests = report?.bearableRequests,
            runningAttempts = report?.runningAttempts?.size,
            fencingNumber = report?.highestFencingNumber?.value,
            reportAgeMilliseconds = received?.let { Duration.between(it.receivedAt, now).toMillis() },
            notServing = notServing(host, received, control, now),
        )
    }

    private fun notServing(
        host: Host,
        received: ReceivedReport?,
        control: DaemonControl,
        now: Instant,
    ): NotServingAnswer? {
        val fresh = Duration.ofMillis(control.configuration.targets.reportFreshMilliseconds)
        val phase = received?.takeIf { it.isFresh(now, fresh) }?.report?.phase
        return when {
            phase == null -> NotServingAnswer("silent")
            host.status == HostStatus.LEAVING -> NotServingAnswer("leaving")
            phase == TargetPhase.LOADING -> NotServingAnswer("loading")
            host.role == HostRole.PLAIN_SERVICE -> plainNotServing(phase, control)
            else -> engineNotServing(host, received?.report?.assignment, control)
        }
    }

    private fun engineNotServing(
        host: Host,
        reported: Assignment?,
        control: DaemonControl,
    ): NotServingAnswer? {
        val group = groupOf(host, control) ?: return withoutGroup(reported)
        return GroupsPage.notServing(group, control)
    }

    private fun plainNotServing(
        phase: TargetPhase,
        control: DaemonControl,
    ): NotServingAnswer? = when {
        phase != TargetPhase.READY -> NotServingAnswer("not-ready", detail = phase.name)
        GroupsPage.stateOf(control) == FailureDomainState.OUT -> NotServingAnswer("failure-domain-out")
        else -> null
    }

    private fun withoutGroup(reported: Assignment?) =
        NotServingAnswer("without-group", detail = reported?.let { "still reports ${it.group} ${it.generation}" })

    private fun groupOf(
        host: Host,
        control: DaemonControl,
    ): GroupDescription? = control.servingState.descriptions.values
        .firstOrNull { host.id in it.members }
}
