/*
 * Selects the model that a spare target keeps staged.
 *
 * The value of a spare is the impact of the losses that it covers: the probability that a group of its model in the
 * same fabric domain loses a member, times the fraction of traffic that such a group serves. Each further spare for the
 * same model is worth much less, since it is only needed after two losses in quick succession. A model without a group
 * in the fabric domain and with too few targets for one needs its members for certain; so does a model whose demand
 * exceeds the capacity of its groups.
 */
package org.vanillalink.serving.control

import org.vanillalink.serving.catalog.ModelDefinition

/**
 * Selector for one fabric domain. [staged] holds the model of each free target, or null if it has none; [loading] holds
 * the models among them whose loads haven't completed. A target whose load has completed is kept before those;
 * [groupsInFabricDomain] and [groupsInFailureDomain] hold the number of active groups by model; [underCapacity] names
 * models whose groups can't serve the demand.
 */
internal class SpareModelSelector(
    private val models: List<ModelDefinition>,
    staged: List<String?>,
    private val groupsInFabricDomain: Map<String, Int>,
    private val groupsInFailureDomain: Map<String, Int>,
    private val underCapacity: Set<String> = emptySet(),
    loading: List<String> = emptyList(),
) {
    private val spares: MutableMap<String, Int> =
        staged
            .filterNotNull()
            .groupingBy { it }
            .eachCount()
            .toMutableMap()

    private val loadingCounts: MutableMap<String, Int> = loading.groupingBy { it }.eachCount().toMutableMap()

    /** Returns the model that a target with [current] staged should load, or null if it should keep [current]. */
    fun nextModel(current: String?): ModelDefinition? {
        val best = models.maxByOrNull { marginalValue(it, spareCount(it.name)) } ?: return null
        val held = models.firstOrNull { it.name == current } ?: return best
        if (best == held || isAwaitingMembers(held)) return null
        val currentValue = marginalValue(held, loadedCount(held.name) - 1)
        return best.takeIf { marginalValue(it, spareCount(it.name)) > currentValue * MIN_LOAD_GAIN }
    }

    /** Records that a target will replace [before] by [after]. */
    fun recordReplacement(
        before: String?,
        after: String,
    ) {
        if (before != null) spares.computeIfPresent(before) { _, spareCount -> spareCount - 1 }
        spares.merge(after, 1, Int::plus)
        loadingCounts.merge(after, 1, Int::plus)
    }

    /**
     * The value of one more spare of [model] in addition to [otherSpares]. A larger group has a higher risk of loss but
     * serves less traffic per member, so group size cancels out and only the model's share matters.
     */
    private fun marginalValue(
        model: ModelDefinition,
        otherSpares: Int,
    ): Double {
        val lossImpact = model.share / maxOf(1, groupsInFailureDomain[model.name] ?: 0)
        val isNeeded = hasNoGroup(model) || model.name in underCapacity
        if (isNeeded && otherSpares < model.size) return lossImpact * REQUIRED_MEMBER_WEIGHT
        return lossImpact / ((otherSpares + 1) * (otherSpares + 1))
    }

    private fun hasNoGroup(model: ModelDefinition): Boolean = (groupsInFabricDomain[model.name] ?: 0) == 0

    /** Whether spares of [model] are the remaining members of a lost group that wait for the missing ones. */
    private fun isAwaitingMembers(model: ModelDefinition): Boolean =
        hasNoGroup(model) && loadedCount(model.name) <= model.size

    private fun loadedCount(model: String): Int = spareCount(model) - (loadingCounts[model] ?: 0)

    private fun spareCount(model: String): Int = spares[model] ?: 0

    private companion object {
        /** A standby spare is needed in about one of four periods of the length of a load. */
        const val REQUIRED_MEMBER_WEIGHT = 4.0

        /** A load takes long and its target can't be used meanwhile, so a small gain doesn't justify one. */
        const val MIN_LOAD_GAIN = 1.5
    }
}
