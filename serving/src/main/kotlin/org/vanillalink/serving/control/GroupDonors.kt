/*
 * Groups that can give their members up for another model, and the steps that are the same whatever the reason is.
 */
package org.vanillalink.serving.control

import org.vanillalink.serving.catalog.ModelDefinition
import org.vanillalink.serving.targets.TargetEntry

internal class GroupDonors(
    private val cycle: GroupControlCycle,
    private val view: DomainView,
    private val groups: ActiveGroups,
    private val shares: DemandShares,
    private val staging: HostStaging,
) {
    /**
     * Returns the groups of [domain], at least one, that with [free] further targets suffice for a group of [model], or
     * null if those that [canSpare] names are too few.
     */
    fun choose(
        domain: String?,
        model: ModelDefinition,
        free: Int,
        canSpare: (group: ActiveGroup, chosen: List<ActiveGroup>) -> Boolean,
    ): List<ActiveGroup>? {
        val chosen = mutableListOf<ActiveGroup>()
        for (group in candidates(domain, model)) {
            if (chosen.isNotEmpty() && suffices(chosen, free, model)) break
            if (canSpare(group, chosen)) chosen += group
        }
        return chosen.takeIf { it.isNotEmpty() && suffices(it, free, model) }
    }

    private fun suffices(
        chosen: List<ActiveGroup>,
        free: Int,
        model: ModelDefinition,
    ): Boolean = free + chosen.sumOf { it.size } >= model.size

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

    /** The members of [donors], as listed now. */
    fun members(donors: List<ActiveGroup>): List<TargetEntry> =
        donors.flatMap { cycle.members(it.key) }.map { view.entries[it.id] ?: it }

    /** The [count] of [targets] that would be ready for [model] first. */
    fun membersFor(
        model: ModelDefinition,
        targets: List<TargetEntry>,
        count: Int,
    ): List<TargetEntry> =
        targets.sortedWith(compareBy({ staging.readinessRank(it, model.name) }, { it.id })).take(count)

    /** Dissolves [donors] once their requests are answered. */
    fun close(donors: List<ActiveGroup>) = donors.forEach { group ->
        val head = cycle.state.rosters[group.key]?.head ?: return@forEach
        cycle.dissolve(group.key, view.entries[head.id] ?: head, REASON, isGraceful = true)
    }

    /** How many of [targets] have [model] or load it. */
    fun loadedCount(
        targets: List<TargetEntry>,
        model: String,
    ): Int = targets.count { staging.readinessRank(view.entries[it.id] ?: it, model) <= HostStaging.STAGING }

    /** The fabric domains that have targets. */
    fun fabricDomains(): List<String?> = view.entries.values
        .map { it.fabricDomain }
        .distinct()
        .sortedBy { it.orEmpty() }

    private companion object {
        const val REASON = "members-reassigned"
    }
}
