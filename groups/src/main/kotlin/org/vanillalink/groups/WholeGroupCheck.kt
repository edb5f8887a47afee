/*
 * Decides which groups may be given work. Every daemon's router runs it on the reports that it received.
 *
 * The evidence is only what the members report themselves: a target reports one assignment, so that one host can never
 * make two groups whole. A member that restarted after its group was whole ends that generation for good, because the
 * other members' shared state is gone.
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

/** What the check learns. */
sealed interface ServingEvent {
    /** A target's report arrived, directly or through a peer that received it at `received.receivedAt`. */
    data class ReportReceived(
        val received: ReceivedReport,
    ) : ServingEvent

    /** A description was learned; one with an older generation than the known one is ignored. */
    data class GroupDescribed(
        val description: GroupDescription,
    ) : ServingEvent

    /** The group under [generation] was given up; a newer generation is kept. */
    data class GroupDissolved(
        val group: GroupId,
        val generation: Generation,
    ) : ServingEvent

    /** Time passed. */
    data object Tick : ServingEvent
}

/** What follows for attempts, routing and the time line. */
sealed interface ServingDecision {
    /** [group] may be given work from now on. */
    data class GroupServing(
        val group: GroupId,
        val generation: Generation,
    ) : ServingDecision

    /** [group] must not be given work, and attempts in flight on it end with [reason]. */
    data class GroupStoppedServing(
        val group: GroupId,
        val generation: Generation,
        val reason: NotServingReason,
    ) : ServingDecision

    /** The slow member [host] makes [group] a straggler, or with null no member does any more. */
    data class StragglerChanged(
        val group: GroupId,
        val host: HostId?,
    ) : ServingDecision
}

/** The boots that a group's members had when [generation] became whole; [ended] once one of them changed. */
data class WholeGeneration(
    val generation: Generation,
    val boots: Map<HostId, BootId>,
    val ended: Boolean = false,
)

/** The state of the check. */
data class ServingState(
    val reports: ReportBook = ReportBook(),
    val descriptions: Map<GroupId, GroupDescription> = emptyMap(),
    val whole: Map<GroupId, WholeGeneration> = emptyMap(),
    val statuses: Map<GroupId, GroupStatus> = emptyMap(),
    val stragglers: Map<GroupId, HostId> = emptyMap(),
) {
    /** Whether [group] may be given work. */
    fun statusOf(group: GroupId): GroupStatus =
        statuses[group] ?: GroupStatus.NotServing(NotServingReason.NoDescription)

    /** The generations that a member's restart ended; tell them to the controller and, in heartbeats, to peers. */
    val endedGenerations: Map<GroupId, Generation>
        get() = whole.filterValues { it.ended }.mapValues { it.value.generation }

    /** The groups of [service] that may be given work. */
    fun servingGroups(service: ServiceName): List<GroupDescription> =
        descriptions.values.filter { it.service == service && statuses[it.group] is GroupStatus.Serving }
}

/** The whole-group check. */
class WholeGroupCheck(
    private val settings: GroupSettings,
) : Aggregate<ServingState, ServingEvent, ServingDecision> {
    override fun handle(
        state: ServingState,
        event: ServingEvent,
        now: Instant,
    ): Transition<ServingState, ServingDecision> = when (event) {
        is ServingEvent.ReportReceived -> receive(state, event.received, now)
        is ServingEvent.GroupDescribed -> describe(state, event.description, now)
        is ServingEvent.GroupDissolved -> dissolve(state, event)
        ServingEvent.Tick -> checkStragglers(checkAll(state, state.descriptions.keys, now), now)
    }

    private fun receive(
        state: ServingState,
        received: ReceivedReport,
        now: Instant,
    ): Transition<ServingState, ServingDecision> {
        val reports = state.reports.with(received)
        val affected = state.descriptions.values.filter { received.report.host in it.members }
        return checkAll(state.copy(reports = reports), affected.map { it.group }, now)
    }

    private fun describe(
        state: ServingState,
        description: GroupDescription,
        now: Instant,
    ): Transition<ServingState, ServingDecision> {
        val known = state.descriptions[description.group]
        if (known != null && known.generation >= description.generation) return Transition(state)
        val stopped = known?.let { stop(state, it, NotServingReason.MembersChanged) } ?: Transition(state)
        val described = stopped.state.copy(descriptions = state.descriptions + (description.group to description))
        val checked = checkAll(described, listOf(description.group), now)
        return Transition(checked.state, stopped.decisions + checked.decisions)
    }

    private fun dissolve(
        state: ServingState,
        event: ServingEvent.GroupDissolved,
    ): Transition<ServingState, ServingDecision> {
        val known = state.descriptions[event.group] ?: return Transition(state)
        if (known.generation > event.generation) return Transition(state)
        val stopped = stop(state, known, NotServingReason.NoDescription)
        val next =
            stopped.state.copy(
                descriptions = state.descriptions - event.group,
                statuses = stopped.state.statuses - event.group,
                whole = state.whole - event.group,
                stragglers = state.stragglers - event.group,
            )
        return Transition(next, stopped.decisions)
    }

    private fun stop(
        state: ServingState,
        known: GroupDescription,
        reason: NotServingReason,
    ): Transition<ServingState, ServingDecision> {
        if (state.statuses[known.group] !is GroupStatus.Serving) return Transition(state)
        val stopped = state.copy(statuses = state.statuses + (known.group to GroupStatus.NotServing(reason)))
        return Transition(stopped, listOf(ServingDecision.GroupStoppedServing(known.group, known.generation, reason)))
    }

    private fun checkAll(
        state: ServingState,
        groups: Iterable<GroupId>,
        now: Instant,
    ): Transition<ServingState, ServingDecision> = groups.fold(Transition(state)) { soFar, group ->
        val description = soFar.state.descriptions.getValue(group)
        val checked = check(soFar.state, description, now)
        Transition(checked.state, soFar.decisions + checked.decisions)
    }

    private fun check(
        state: ServingState,
        description: GroupDescription,
        now: Instant,
    ): Transition<ServingState, ServingDecision> {
        val group = description.group
        val whole = state.whole[group]?.takeIf { it.generation == description.generation }
        val restarted = whole?.let { restartedMember(state, it) }
        val reason = restarted?.let { NotServingReason.MemberRestarted(it) } ?: faultOf(state, description, now)
        if (reason != null) {
            val ended = if (restarted == null) state.whole else state.whole + (group to whole.copy(ended = true))
            val stopped = stop(state, description, reason)
            val statuses = stopped.state.statuses + (group to GroupStatus.NotServing(reason))
            return Transition(stopped.state.copy(whole = ended, statuses = statuses), stopped.decisions)
        }
        if (state.statuses[group] is GroupStatus.Serving) return Transition(state)
        val boots =
            description.members.associateWith {
                state.reports.latest
                    .getValue(it)
                    .report.boot
            }
        val next =
            state.copy(
                whole = state.whole + (group to WholeGeneration(description.generation, boots)),
                statuses = state.statuses + (group to GroupStatus.Serving(boots)),
            )
        return Transition(next, listOf(ServingDecision.GroupServing(group, description.generation)))
    }

    private fun restartedMember(
        state: ServingState,
        whole: WholeGeneration,
    ): HostId? {
        val changed =
            whole.boots.entries.firstOrNull { (host, boot) ->
                state.reports.latest[host]
                    ?.report
                    ?.boot != boot
            }
        return changed?.key ?: whole.boots.keys
            .first()
            .takeIf { whole.ended }
    }

    private fun faultOf(
        state: ServingState,
        description: GroupDescription,
        now: Instant,
    ): NotServingReason? = description.members.firstNotNullOfOrNull { faultOfMember(state, description, it, now) }

    private fun faultOfMember(
        state: ServingState,
        description: GroupDescription,
        host: HostId,
        now: Instant,
    ): NotServingReason? {
        val report = state.reports.fresh(host, now, settings.reportFresh) ?: return NotServingReason.MemberSilent(host)
        if (report.assignment != description.assignmentOf(host)) {
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
        val stragglers = Stragglers(settings).find(state.descriptions.values, state.reports, now)
        val changed = state.descriptions.keys.filter { state.stragglers[it] != stragglers[it] }
        val decisions = changed.map { ServingDecision.StragglerChanged(it, stragglers[it]) }
        return Transition(state.copy(stragglers = stragglers), checked.decisions + decisions)
    }
}
