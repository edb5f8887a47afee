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

internal class GroupsComponent(
    identity: DaemonIdentity,
    settings: GroupSettings,
) {
    private val domainAggregate =
        FailureDomainAggregate(
            self = ControlHolder(identity.daemon, identity.boot),
            domain = identity.failureDomain,
            isOwnDomain = true,
            settings = settings,
        )
    private val wholeGroupCheck = GroupReadinessCheck(settings)

    var domainState = DomainState()
        private set

    var servingState = ServingState()
        private set

    fun tick(step: ProcessingStep) {
        handle(DomainEvent.Tick, step)
        handle(ServingEvent.Tick, step)
        generationsEnded(servingState.endedGenerations, step)
    }

    /** Tells the controller of generations that a router, this daemon's or a peer's, saw end. */
    fun generationsEnded(
        ended: Map<GroupId, Generation>,
        step: ProcessingStep,
    ) = ended.forEach { (group, generation) -> handle(ControllerEvent.GenerationEnded(group, generation), step) }

    fun handle(
        event: DomainEvent,
        step: ProcessingStep,
    ) {
        val heldBefore = domainState.heldFencingNumber
        val next = domainAggregate.handle(domainState, event, step.now)
        domainState = next.state
        next.decisions.forEach { execute(it, step) }
        if (domainState.heldFencingNumber != heldBefore) step.publish(LocalEvent.LocalStateChanged(urgent = false))
    }

    fun reportUpdated(
        received: ReceivedReport,
        step: ProcessingStep,
    ) {
        handle(ControllerEvent.ReportReceived(received), step)
        handle(ServingEvent.ReportReceived(received), step)
        val assignment = received.report.assignment ?: return
        val knownDescription = servingState.descriptions[assignment.group]
        // A newer generation is found with the report that completes it.
        if (knownDescription != null && knownDescription.generation >= assignment.generation) return
        val description = GroupDescriptionResolver.resolve(assignment.group, servingState.reports.byHost) ?: return
        handle(ServingEvent.GroupDescribed(description), step)
    }

    fun applyConfiguration(
        document: ConfigurationDocument,
        step: ProcessingStep,
    ) {
        val models = document.services.filterValues { it.kind == ServiceKind.MODEL }
        val desired =
            models.map { (service, settings) ->
                DesiredService(service, settings.membersPerGroup, settings.groupsPerFailureDomain, settings.priority)
            }
        handle(ControllerEvent.ServicesDesired(desired), step)
    }

    /** The group that serves through [host], or null where none does. */
    fun servingGroupAt(host: HostId): GroupDescription? =
        servingState.descriptions.values.firstOrNull { it.members.first() == host && isServing(it) }

    fun latestReport(host: HostId): TargetReport? = servingState.reports.byHost[host]?.report

    private fun isServing(group: GroupDescription) = servingState.groupStatus(group.group) is GroupStatus.Serving

    private fun execute(
        decision: DomainDecision,
        step: ProcessingStep,
    ) {
        if (decision !is DomainDecision.TimelineEntry) {
            step.addDecision(DaemonDecision.ForDomain(decision))
            return
        }
        step.addDecision(TimelineRecords.from(decision))
        if (decision is DomainDecision.ControlGained) step.publish(LocalEvent.ControlGained(decision.fencingNumber))
    }

    private fun handle(
        event: ServingEvent,
        step: ProcessingStep,
    ) {
        val previousState = servingState
        val next = wholeGroupCheck.handle(previousState, event, step.now)
        servingState = next.state
        next.decisions.forEach { decision ->
            step.addDecision(TimelineRecords.from(decision))
            if (decision is ServingDecision.GroupStoppedServing) endAttempts(previousState, decision, step)
        }
        if (next.decisions.isNotEmpty()) step.publish(LocalEvent.ServingChanged)
    }

    private fun endAttempts(
        previousState: ServingState,
        stopped: ServingDecision.GroupStoppedServing,
        step: ProcessingStep,
    ) {
        val entryHost = previousState.descriptions[stopped.group]?.members?.first() ?: return
        memberLost(previousState, entryHost, stopped.reason)?.let(step::publish)
        step.addDecision(DaemonDecision.EndAttempts(entryHost, stopped.group, stopped.reason))
    }

    /** The boots are those that were known while the group served. */
    private fun memberLost(
        previousState: ServingState,
        entryHost: HostId,
        reason: NotServingReason,
    ): LocalEvent.MemberLost? {
        val member =
            when (reason) {
                is NotServingReason.MemberSilent -> reason.host
                is NotServingReason.MemberRestarted -> reason.host
                else -> return null
            }
        val loss = targetLoss(previousState, member) ?: return null
        return targetLoss(previousState, entryHost)?.let { LocalEvent.MemberLost(loss, ranAt = it) }
    }

    private fun targetLoss(
        previousState: ServingState,
        host: HostId,
    ): TargetInstance? = previousState.reports.byHost[host]?.let { TargetInstance(host, it.report.boot) }
}
