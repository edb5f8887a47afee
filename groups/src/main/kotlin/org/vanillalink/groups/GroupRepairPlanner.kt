/*
 * Forms missing groups and repairs faulty ones, each with a new generation.
 */
package org.vanillalink.groups

import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.Generation
import org.vanillalink.model.GroupId
import org.vanillalink.model.HostId
import org.vanillalink.model.ServiceName
import org.vanillalink.model.Transition

private typealias RepairStep = Transition<ControllerState, DomainDecision>

/** Plans repairs; [placement] selects the members. */
internal class GroupRepairPlanner(
    private val domain: FailureDomainId,
    private val settings: GroupSettings,
    private val placement: PlacementPolicy,
) {
    /** Applies all repairs that are currently possible. */
    fun apply(view: ControllerView): RepairStep {
        val desired = desiredGroups(view.state)
        val dissolved = dissolve(view.state, desired.keys)
        val current = ControllerView(dissolved.state, view.now, settings)
        val repaired = repair(current, desired)
        return Transition(repaired.state, dissolved.decisions + repaired.decisions)
    }

    /** The numbers of serving and desired groups of each service. */
    fun availability(view: ControllerView): Map<ServiceName, ServiceAvailability> {
        val serving =
            view.state.groups.values
                .filter { view.isReady(it) }
                .groupingBy { it.row.service }
                .eachCount()
        val services = view.state.services.orEmpty()
        return services.associate { it.service to ServiceAvailability(serving[it.service] ?: 0, it.groups) }
    }

    private fun desiredGroups(state: ControllerState): Map<GroupId, DesiredService> = state.services
        .orEmpty()
        .flatMap { service -> List(service.groups) { GroupId("$domain/${service.service}/$it") to service } }
        .toMap()

    private fun dissolve(
        state: ControllerState,
        desired: Set<GroupId>,
    ): RepairStep {
        val unwanted = state.groups.values.filter { it.group !in desired && it.row.members.isNotEmpty() }
        val emptied = unwanted.associate { it.group to it.copy(row = it.row.copy(members = emptyList())) }
        val decisions = unwanted.map { DomainDecision.PublishDissolved(it.group, it.row.generation) }
        return Transition(state.copy(groups = state.groups + emptied), decisions)
    }

    private fun repair(
        view: ControllerView,
        desired: Map<GroupId, DesiredService>,
    ): RepairStep {
        val free = view.freeHosts()
        val faults = findFaults(view, desired, free.filter { view.state.owns(it) })
        if (faults.isEmpty()) return Transition(view.state)
        val placed = placement.place(createPlacementRequest(view, desired, faults, free))
        return placed.fold(Transition(removeTakenMembers(view.state, placed))) { accumulated, group ->
            formGroup(accumulated, group, desired.getValue(group.group), faults.getValue(group.group))
        }
    }

    private fun findFaults(
        view: ControllerView,
        desired: Map<GroupId, DesiredService>,
        ownedFreeHosts: List<HostId>,
    ): Map<GroupId, GroupFault> {
        val descriptions =
            view.state.groups.values
                .map { it.description }
        val stragglers = StragglerDetector(settings).find(descriptions, view.state.reports, view.now)
        val faultFinder = GroupFaultFinder(view, stragglers, ownedFreeHosts)
        val faults = mutableMapOf<GroupId, GroupFault>()
        desired.forEach { (group, service) ->
            val current = view.state.groups[group]
            val fault =
                if (current == null) {
                    GroupFault(RepairReason.Lacking, emptySet())
                } else {
                    faultFinder.findFault(current, service.membersPerGroup)
                }
            if (fault != null) faults[group] = fault
        }
        return faults
    }

    private fun createPlacementRequest(
        view: ControllerView,
        desired: Map<GroupId, DesiredService>,
        faults: Map<GroupId, GroupFault>,
        free: List<HostId>,
    ): PlacementRequest {
        val incomplete =
            faults.map { (group, fault) ->
                val service = desired.getValue(group)
                val members =
                    view.state.groups[group]
                        ?.row
                        ?.members
                        .orEmpty()
                val survivors = members.filter { it !in fault.departingMembers }.take(service.membersPerGroup)
                IncompleteGroup(group, service.service, service.membersPerGroup, service.priority, survivors)
            }
        val fabricDomains = view.state.hosts.mapValues { it.value.fabricDomain }
        return PlacementRequest(incomplete, free, fabricDomains, availability(view))
    }

    /** Removes the placed hosts from the groups that they belonged to before. */
    private fun removeTakenMembers(
        state: ControllerState,
        placed: List<PlacedGroup>,
    ): ControllerState {
        val taken = placed.flatMap { it.members }.toSet()
        val groups =
            state.groups.mapValues { (_, group) ->
                val members = group.row.members.filter { it !in taken }
                if (members.size ==
                    group.row.members.size
                ) {
                    group
                } else {
                    group.copy(row = group.row.copy(members = members))
                }
            }
        return state.copy(groups = groups)
    }

    private fun formGroup(
        accumulated: RepairStep,
        placed: PlacedGroup,
        service: DesiredService,
        fault: GroupFault,
    ): RepairStep {
        val generationSequence = accumulated.state.generationSequence + 1
        val generation = Generation(accumulated.state.fencingNumber, generationSequence)
        val group = ManagedGroup(placed.group, GroupRow(service.service, generation, placed.members))
        val state =
            accumulated.state.copy(
                generationSequence = generationSequence,
                groups =
                    accumulated.state.groups + (group.group to group),
            )
        val published = DomainDecision.PublishDescription(group.description)
        val formed = DomainDecision.GroupFormed(group.description, fault.reason)
        return Transition(state, accumulated.decisions + listOf(published, formed))
    }
}
