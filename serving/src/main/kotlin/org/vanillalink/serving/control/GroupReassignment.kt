/*
 * Takes members from groups of one model for another one that has no group and too few free targets for one.
 *
 * Before the first request that costs nothing, so each fabric domain gets a group of each model that its targets
 * suffice for, in whatever order they were listed. Under traffic it is done only for a model without any group in the
 * failure domain, and its donors keep enough groups for their own demand. The donors' hosts load the model while their
 * groups still serve; the groups are closed when all of them have it.
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
        fabricDomains().filter { it !in forming }.forEach { domain ->
            val missing =
                view.engine.models
                    .filter { groups.count(it.name) < cycle.settings.reservedGroups }
                    .filter { groups.count(domain, it.name) == 0 }
            missing.sortedByDescending { it.size }.firstNotNullOfOrNull { donation(domain, it) }?.let(::close)
        }
    }

    private fun reassignUnderTraffic() {
        val model =
            view.engine.models
                .filter(::isDue)
                .maxByOrNull { it.size } ?: return
        val isFormable = fabricDomains().any { availableTargets(it).size >= model.size }
        if (isFormable) return
        val donation =
            fabricDomains()
                .mapNotNull { donation(it, model) }
                .minByOrNull { it.donors.sumOf(ActiveGroup::size) - loadedCount(it) } ?: return
        val members = members(donation)
        staging.stageAll(members, model)
        if (members.all { staging.readinessRank(it, model.name) <= HostStaging.STAGED }) close(donation)
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
        val donors = mutableListOf<ActiveGroup>()
        for (group in candidates(domain, model)) {
            if (free.size + donors.sumOf { it.size } >= model.size) break
            if (canSpare(group, donors, model)) donors += group
        }
        return Donation(model, free, donors).takeIf { free.size + donors.sumOf { it.size } >= model.size }
    }

    /** The groups that have most of the model already come first, so that the choice lasts; then those with room. */
    private fun candidates(
        domain: String?,
        model: ModelDefinition,
    ): List<ActiveGroup> = groups.all
        .filter { it.fabricDomain == domain && it.model != model.name && it.isEstablished }
        .filter { cycle.members(it.key).size == it.size }
        .sortedWith(
            compareByDescending<ActiveGroup> { loadedCount(cycle.members(it.key), model.name) }
                .thenByDescending { shares.idleSlots(it.model, groups.count(it.model)) }
                .thenBy { it.key.epoch },
        )

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

    private fun members(donation: Donation): List<TargetEntry> {
        val donated = donation.donors.flatMap { cycle.members(it.key) }.map { view.entries[it.id] ?: it }
        return (donation.free + donated)
            .sortedWith(compareBy({ staging.readinessRank(it, donation.model.name) }, { it.id }))
            .take(donation.model.size)
    }

    private fun close(donation: Donation) = donation.donors.forEach { group ->
        val head = cycle.state.rosters[group.key]?.head ?: return@forEach
        cycle.dissolve(group.key, view.entries[head.id] ?: head, REASON, isGraceful = true)
    }

    private fun loadedCount(donation: Donation): Int =
        loadedCount(donation.free + donation.donors.flatMap { cycle.members(it.key) }, donation.model.name)

    private fun loadedCount(
        targets: List<TargetEntry>,
        model: String,
    ): Int = targets.count { staging.readinessRank(view.entries[it.id] ?: it, model) <= HostStaging.STAGING }

    private fun fabricDomains(): List<String?> = view.entries.values
        .map { it.fabricDomain }
        .distinct()
        .sortedBy { it.orEmpty() }

    private companion object {
        const val REASON = "members-reassigned"

        /** Where a model is served nowhere, the others share the shortage, but none is left with less than this. */
        const val MIN_SERVED_FRACTION = 0.5
    }
}
