/*
 * Takes members from groups of one model for another one that has no group and too few free targets for one.
 *
 * Before the first request that costs nothing, so each fabric domain gets a group of each model that its targets
 * suffice for, in whatever order they were listed. Under traffic it is done only for a model without any group in the
 * failure domain, and its donors keep enough groups for their own demand; for the other models see
 * [DemandReassignment]. The donors' hosts load the model while their groups still serve; the groups are closed when all
 * of them have it.
 */
package org.vanillalink.serving.control

import org.vanillalink.serving.catalog.ModelDefinition
import org.vanillalink.serving.targets.GroupKey
import org.vanillalink.serving.targets.TargetEntry

/** [availableTargets] returns the targets of a fabric domain that are free now, or soon as its groups are dissolved. */
internal class GroupReassignment(
    private val cycle: GroupControlCycle,
    private val view: DomainView,
    private val groups: ActiveGroups,
    private val shares: DemandShares,
    private val staging: HostStaging,
    private val donors: GroupDonors,
    private val availableTargets: (domain: String?) -> List<TargetEntry>,
) {
    private class Donation(
        val model: ModelDefinition,
        val free: List<TargetEntry>,
        val donors: List<ActiveGroup>,
    )

    fun apply() {
        if (view.hasTraffic) reassignUnderTraffic() else reassignBeforeTraffic()
    }

    /** A daemon that takes over may not have heard of the traffic yet, so it leaves the groups as they are. */
    private fun reassignBeforeTraffic() {
        if (cycle.state.hasPredecessor) return
        if (cycle.now - cycle.state.newTargetAt < cycle.settings.settlingMilliseconds) return
        val forming =
            cycle.state.formations.values
                .map { it.head.fabricDomain }
                .toSet()
        donors.fabricDomains().filter { it !in forming }.forEach { domain ->
            val missing = view.engine.models.filter { groups.needsFirst(domain, it) }
            val donation = missing.sortedByDescending { it.size }.firstNotNullOfOrNull { donation(domain, it) }
            donation?.let { donors.close(it.donors) }
        }
    }

    private fun reassignUnderTraffic() {
        val model =
            view.engine.models
                .filter(::isDue)
                .maxByOrNull { it.size } ?: return
        val isFormable = donors.fabricDomains().any { availableTargets(it).size >= model.size }
        if (isFormable) return
        val donation =
            donors
                .fabricDomains()
                .mapNotNull { donation(it, model) }
                .minByOrNull { it.donors.sumOf(ActiveGroup::size) - loadedCount(it) } ?: return
        val members = donors.membersFor(model, targets(donation), model.size)
        staging.stageAll(members, model)
        if (members.all { staging.readinessRank(it, model.name) <= HostStaging.STAGED }) donors.close(donation.donors)
    }

    /** A group that isn't known entirely, such as one whose head isn't listed yet, may serve the model. */
    private fun isDue(model: ModelDefinition): Boolean {
        val since = cycle.state.unservedModels[model.name]?.since ?: return false
        val isLasting = cycle.now - since >= cycle.settings.unservedAlarmMilliseconds
        return isLasting && groups.count(model.name) == 0 &&
            cycle.state.rosters.none { (key, roster) ->
                isUndecided(key, roster) && roster.members.values.any { it.model == model.name }
            }
    }

    private fun isUndecided(
        key: GroupKey,
        roster: Roster,
    ): Boolean = !cycle.isDissolved(key) && !StandbyGroups.isStandby(key) && !cycle.hasNotOpened(key, roster)

    /** Returns the groups of [domain] that would have to be closed for [model], or null if that isn't possible. */
    private fun donation(
        domain: String?,
        model: ModelDefinition,
    ): Donation? {
        val free = availableTargets(domain)
        if (free.size >= model.size) return null
        val chosen =
            donors.choose(domain, model, free.size) { group, chosen -> canSpare(group, chosen, model) } ?: return null
        return Donation(model, free, chosen)
    }

    private fun canSpare(
        group: ActiveGroup,
        donors: List<ActiveGroup>,
        model: ModelDefinition,
    ): Boolean {
        val taken = donors.count { it.model == group.model } + 1
        val remaining = groups.count(group.model) - taken
        if (remaining < 1) return false
        if (!view.hasTraffic) {
            val isUnserved = groups.count(model.name) == 0
            return isUnserved || groups.count(group.fabricDomain, group.model) - taken >= 1
        }
        val donorModel = view.engine.models.firstOrNull { it.name == group.model } ?: return true
        val isServedElsewhere = model.name in view.modelsElsewhere
        return if (isServedElsewhere) {
            !shares.isUnderCapacity(donorModel, remaining)
        } else {
            shares.servedFraction(group.model, remaining) >= MIN_SERVED_FRACTION
        }
    }

    private fun loadedCount(donation: Donation): Int = donors.loadedCount(targets(donation), donation.model.name)

    private fun targets(donation: Donation): List<TargetEntry> = donation.free + donors.members(donation.donors)

    private companion object {
        /** Where a model is served nowhere, the others share the shortage, but none is left with less than this. */
        const val MIN_SERVED_FRACTION = 0.5
    }
}
