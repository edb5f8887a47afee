/*
 * Decides which groups may receive requests. Every daemon's router runs it on the reports that it received.
 *
 * It relies only on the members' own reports: a target reports a single assignment, so one host can never make two
 * groups ready. A member that restarts after its group was ready ends that generation permanently, because the state
 * that the other members shared with it is lost.
 */
package org.vanillalink.groups

import org.vanillalink.model.Aggregate
import org.vanillalink.model.BootId
import org.vanillalink.model.Generation
import org.vanillalink.model.GroupId
import org.vanillalink.model.HostId
import org.vanillalink.model.ServiceName
import org.vanillalink.model.TargetPhase
import org.vanillalink.model.Transition
import java.time.Instant

/** An event for [GroupReadinessCheck]. */
sealed interface ServingEvent {
    /** A target's report arrived, directly or through a peer that received it at `received.receivedAt`. */
    data class ReportReceived(
        val received: ReceivedReport,
    ) : ServingEvent

    /** A description was received; one with an older generation than the current one is ignored. */
    data class GroupDescribed(
        val description: GroupDescription,
    ) : ServingEvent

    /** The group with [generation] was dissolved; a newer generation is kept. */
    data class GroupDissolved(
        val group: GroupId,
        val generation: Generation,
    ) : ServingEvent

    /** Time passed. */
    data object Tick : ServingEvent
}

/** A decision that concerns attempts, routing and the timeline. */
sealed interface ServingDecision {
    /** [group] may receive requests from now on. */
    data class GroupServing(
        val group: GroupId,
        val generation: Generation,
    ) : ServingDecision

    /** [group] must not receive requests, and attempts in flight on it end with [reason]. */
    data class GroupStoppedServing(
        val group: GroupId,
        val generation: Generation,
        val reason: NotServingReason,
    ) : ServingDecision

    /** The slow member [host] makes [group] a straggler; null if no member does so any more. */
    data class StragglerChanged(
        val group: GroupId,
        val host: HostId?,
    ) : ServingDecision
}

/** The members' boots when [generation] became ready; [hasEnded] is set once one of them has changed. */
data class ReadyGeneration(
    val generation: Generation,
    val boots: Map<HostId, BootId>,
    val hasEnded: Boolean = false,
)

/** The reports, descriptions and statuses of the groups; [ready] holds the generations that have been ready. */
data class ServingState(
    val reports: LatestReports = LatestReports(),
    val descriptions: Map<GroupId, GroupDescription> = emptyMap(),
    val ready: Map<GroupId, ReadyGeneration> = emptyMap(),
    val statuses: Map<GroupId, GroupStatus> = emptyMap(),
    val stragglers: Map<GroupId, HostId> = emptyMap(),
) {
    /** Whether [group] may receive requests. */
    fun groupStatus(group: GroupId): GroupStatus =
        statuses[group] ?: GroupStatus.NotServing(NotServingReason.NoDescription)

    /** The generations that a member's restart ended, to be reported to the controller and, in heartbeats, to peers. */
    val endedGenerations: Map<GroupId, Generation>
        get() = ready.filterValues { it.hasEnded }.mapValues { it.value.generation }

    /** The groups of [service] that may receive requests. */
    fun servingGroups(service: ServiceName): List<GroupDescription> =
        descriptions.values.filter { it.service == service && statuses[it.group] is GroupStatus.Serving }
}

/** Tracks which groups are ready, from reports and descriptions. */
class GroupReadinessCheck(
    private val settings: GroupSettings,
) : Aggregate<ServingState, ServingEvent, ServingDecision> {
    override fun handle(
        state: ServingState,
        event: ServingEvent,
        now: Instant,
    ): Transition<ServingState, ServingDecision> = when (event) {
        is ServingEvent.ReportReceived -> recordReport(state, event.received, now)
        is ServingEvent.GroupDescribed -> updateDescription(state, event.description, now)
        is ServingEvent.GroupDissolved -> removeGroup(state, event)
        ServingEvent.Tick -> checkStragglers(checkGroups(state, state.descriptions.keys, now), now)
    }

    private fun recordReport(
        state: ServingState,
        received: ReceivedReport,
        now: Instant,
    ): Transition<ServingState, ServingDecision> {
        val reports = state.reports.withReport(received)
        val affected = state.descriptions.values.filter { received.report.host in it.members }
        return checkGroups(state.copy(reports = reports), affected.map { it.group }, now)
    }

    private fun updateDescription(
        state: ServingState,
        description: GroupDescription,
        now: Instant,
    ): Transition<ServingState, ServingDecision> {
        val current = state.descriptions[description.group]
        if (current != null && current.generation >= description.generation) return Transition(state)
        val stopped = current?.let { stopServing(state, it, NotServingReason.MembersChanged) } ?: Transition(state)
        val described = stopped.state.copy(descriptions = state.descriptions + (description.group to description))
        val checked = checkGroups(described, listOf(description.group), now)
        return Transition(checked.state, stopped.decisions + checked.decisions)
    }

    private fun removeGroup(
        state: ServingState,
        event: ServingEvent.GroupDissolved,
    ): Transition<ServingState, ServingDecision> {
        val current = state.descriptions[event.group] ?: return Transition(state)
        if (current.generation > event.generation) return Transition(state)
        val stopped = stopServing(state, current, NotServingReason.NoDescription)
        val next =
            stopped.state.copy(
                descriptions = state.descriptions - event.group,
                statuses = stopped.state.statuses - event.group,
                ready = state.ready - event.group,
                stragglers = state.stragglers - event.group,
            )
        return Transition(next, stopped.decisions)
    }

    private fun stopServing(
        state: ServingState,
        current: GroupDescription,
        reason: NotServingReason,
    ): Transition<ServingState, ServingDecision> {
        if (state.statuses[current.group] !is GroupStatus.Serving) return Transition(state)
        val stopped = state.copy(statuses = state.statuses + (current.group to GroupStatus.NotServing(reason)))
        return Transition(
            stopped,
            listOf(ServingDecision.GroupStoppedServing(current.group, current.generation, reason)),
        )
    }

    private fun checkGroups(
        state: ServingState,
        groups: Iterable<GroupId>,
        now: Instant,
    ): Transition<ServingState, ServingDecision> = groups.fold(Transition(state)) { accumulated, group ->
        val description = accumulated.state.descriptions.getValue(group)
        val checked = checkGroup(accumulated.state, description, now)
        Transition(checked.state, accumulated.decisions + checked.decisions)
    }

    private fun checkGroup(
        state: ServingState,
        description: GroupDescription,
        now: Instant,
    ): Transition<ServingState, ServingDecision> {
        val group = description.group
        val ready = state.ready[group]?.takeIf { it.generation == description.generation }
        val restarted = ready?.let { findRestartedMember(state, it) }
        val reason = restarted?.let { NotServingReason.MemberRestarted(it) } ?: findFault(state, description, now)
        if (reason != null) {
            val updated = if (restarted == null) state.ready else state.ready + (group to ready.copy(hasEnded = true))
            val stopped = stopServing(state, description, reason)
            val statuses = stopped.state.statuses + (group to GroupStatus.NotServing(reason))
            return Transition(stopped.state.copy(ready = updated, statuses = statuses), stopped.decisions)
        }
        if (state.statuses[group] is GroupStatus.Serving) return Transition(state)
        val boots =
            description.members.associateWith {
                state.reports.byHost
                    .getValue(it)
                    .report.boot
            }
        val next =
            state.copy(
                ready = state.ready + (group to ReadyGeneration(description.generation, boots)),
                statuses = state.statuses + (group to GroupStatus.Serving(boots)),
            )
        return Transition(next, listOf(ServingDecision.GroupServing(group, description.generation)))
    }

    private fun findRestartedMember(
        state: ServingState,
        ready: ReadyGeneration,
    ): HostId? {
        val changed =
            ready.boots.entries.firstOrNull { (host, boot) ->
                state.reports.byHost[host]
                    ?.report
                    ?.boot != boot
            }
        return changed?.key ?: ready.boots.keys
            .first()
            .takeIf { ready.hasEnded }
    }

    private fun findFault(
        state: ServingState,
        description: GroupDescription,
        now: Instant,
    ): NotServingReason? = description.members.firstNotNullOfOrNull { findMemberFault(state, description, it, now) }

    private fun findMemberFault(
        state: ServingState,
        description: GroupDescription,
        host: HostId,
        now: Instant,
    ): NotServingReason? {
        val report =
            state.reports.freshReport(host, now, settings.maxReportAge) ?: return NotServingReason.MemberSilent(host)
        if (report.assignment != description.assignmentFor(host)) {
            return NotServingReason.MemberOfOtherGeneration(host, report.assignment)
        }
        if (report.phase != TargetPhase.READY) return NotServingReason.MemberNotReady(host, report.phase)
        return null
    }

    private fun checkStragglers(
        checked: Transition<ServingState, ServingDecision>,
        now: Instant,
    ): Transition<ServingState, ServingDecision> {
        val state = checked.state
        val stragglers = StragglerDetector(settings).find(state.descriptions.values, state.reports, now)
        val changed = state.descriptions.keys.filter { state.stragglers[it] != stragglers[it] }
        val decisions = changed.map { ServingDecision.StragglerChanged(it, stragglers[it]) }
        return Transition(state.copy(stragglers = stragglers), checked.decisions + decisions)
    }
}
