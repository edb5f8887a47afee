/*
 * The groups' part of a daemon's decisions: control of the failure domain, and which groups serve.
 */
package org.vanillalink.control

import org.vanillalink.configuration.ConfigurationDocument
import org.vanillalink.configuration.ServiceKind
import org.vanillalink.dispatch.poison.TargetInstance
import org.vanillalink.groups.ControlHolder
import org.vanillalink.groups.ControllerEvent
import org.vanillalink.groups.DesiredService
import org.vanillalink.groups.DomainDecision
import org.vanillalink.groups.DomainEvent
import org.vanillalink.groups.DomainState
import org.vanillalink.groups.FailureDomainAggregate
import org.vanillalink.groups.GroupDescription
import org.vanillalink.groups.GroupReadinessCheck
import org.vanillalink.groups.GroupSettings
import org.vanillalink.groups.GroupStatus
import org.vanillalink.groups.NotServingReason
import org.vanillalink.groups.ReceivedReport
import org.vanillalink.groups.ServingDecision
import org.vanillalink.groups.ServingEvent
import org.vanillalink.groups.ServingState
import org.vanillalink.membership.DaemonIdentity
import org.vanillalink.model.Generation
import org.vanillalink.model.GroupId
import org.vanillalink.model.HostId
import org.vanillalink.model.TargetReport

internal class GroupsPart(
    identity: DaemonIdentity,
    settings: GroupSettings,
) {
    private val domain =
        FailureDomainAggregate(
            self = ControlHolder(identity.daemon, identity.boot),
            domain = identity.failureDomain,
            isOwnDomain = true,
            settings = settings,
        )
    private val wholeGroups = GroupReadinessCheck(settings)

    var domainState = DomainState()
        private set

    var servingState = ServingState()
        private set

    fun tick(step: ControlStep) {
        handle(DomainEvent.Tick, step)
        handle(ServingEvent.Tick, step)
        generationsEnded(servingState.endedGenerations, step)
    }

    /** Tells the controller of generations that a router, this daemon's or a peer's, saw end. */
    fun generationsEnded(
        ended: Map<GroupId, Generation>,
        step: ControlStep,
    ) = ended.forEach { (group, generation) -> handle(ControllerEvent.GenerationEnded(group, generation), step) }

    fun handle(
        event: DomainEvent,
        step: ControlStep,
    ) {
        val heldBefore = domainState.heldFencingNumber
        val next = domain.handle(domainState, event, step.now)
        domainState = next.state
        next.decisions.forEach { follow(it, step) }
        if (domainState.heldFencingNumber != heldBefore) step.tell(PartNews.LocalStateChanged(urgent = false))
    }

    fun reportKnown(
        received: ReceivedReport,
        step: ControlStep,
    ) {
        handle(ControllerEvent.ReportReceived(received), step)
        handle(ServingEvent.ReportReceived(received), step)
        val assignment = received.report.assignment ?: return
        val known = servingState.descriptions[assignment.group]
        // A newer generation is found with the report that completes it.
        if (known != null && known.generation >= assignment.generation) return
        val description = DescriptionFinder.find(assignment.group, servingState.reports.byHost) ?: return
        handle(ServingEvent.GroupDescribed(description), step)
    }

    fun configurationInForce(
        document: ConfigurationDocument,
        step: ControlStep,
    ) {
        val models = document.services.filterValues { it.kind == ServiceKind.MODEL }
        val desired =
            models.map { (service, settings) ->
                DesiredService(service, settings.membersPerGroup, settings.groupsPerFailureDomain, settings.priority)
            }
        handle(ControllerEvent.ServicesDesired(desired), step)
    }

    /** The group that serves through [host], or null where none does. */
    fun groupAt(host: HostId): GroupDescription? =
        servingState.descriptions.values.firstOrNull { it.members.first() == host && isServing(it) }

    fun reportOf(host: HostId): TargetReport? = servingState.reports.byHost[host]?.report

    private fun isServing(group: GroupDescription) = servingState.groupStatus(group.group) is GroupStatus.Serving

    private fun follow(
        decision: DomainDecision,
        step: ControlStep,
    ) {
        if (decision !is DomainDecision.TimelineEntry) {
            step.decide(DaemonDecision.ForDomain(decision))
            return
        }
        step.decide(TimelineNotes.of(decision))
        if (decision is DomainDecision.ControlGained) step.tell(PartNews.ControlGained(decision.fencingNumber))
    }

    private fun handle(
        event: ServingEvent,
        step: ControlStep,
    ) {
        val before = servingState
        val next = wholeGroups.handle(before, event, step.now)
        servingState = next.state
        next.decisions.forEach { decision ->
            step.decide(TimelineNotes.of(decision))
            if (decision is ServingDecision.GroupStoppedServing) endAttempts(before, decision, step)
        }
        if (next.decisions.isNotEmpty()) step.tell(PartNews.ServingChanged)
    }

    private fun endAttempts(
        before: ServingState,
        stopped: ServingDecision.GroupStoppedServing,
        step: ControlStep,
    ) {
        val entry = before.descriptions[stopped.group]?.members?.first() ?: return
        memberLost(before, entry, stopped.reason)?.let(step::tell)
        step.decide(DaemonDecision.EndAttempts(entry, stopped.group, stopped.reason))
    }

    /** The boots are those that were known while the group served. */
    private fun memberLost(
        before: ServingState,
        entry: HostId,
        reason: NotServingReason,
    ): PartNews.MemberLost? {
        val member =
            when (reason) {
                is NotServingReason.MemberSilent -> reason.host
                is NotServingReason.MemberRestarted -> reason.host
                else -> return null
            }
        val loss = lossOf(before, member) ?: return null
        return lossOf(before, entry)?.let { PartNews.MemberLost(loss, ranAt = it) }
    }

    private fun lossOf(
        before: ServingState,
        host: HostId,
    ): TargetInstance? = before.reports.byHost[host]?.let { TargetInstance(host, it.report.boot) }
}
