/*
 * Chooses the model that a spare target keeps ready.
 *
 * A spare is worth the harm that it prevents: how likely a group of its model in the same fabric domain is to lose a
 * member, times the share of the traffic that a group of that model carries. Each further spare for the same model is
 * worth much less, as two losses must come close together before it is needed. A model that has no group in the fabric
 * domain at all, and too few targets for one, needs its members for certain; so does one that callers ask for more than
 * its groups can take.
 */
package org.vanillalink.serving.control

import org.vanillalink.serving.catalog.ModelDefinition

/**
 * The choice for one fabric domain. [staged] holds the model of each free target, or null where it has none;
 * [groupsInFabricDomain] and [groupsInFailureDomain] count standing groups by model, here and in the whole failure
 * domain; [underCapacity] names models whose groups can't take what callers ask for.
 */
internal class SpareModelSelector(
    private val models: List<ModelDefinition>,
    staged: List<String?>,
    private val groupsInFabricDomain: Map<String, Int>,
    private val groupsInFailureDomain: Map<String, Int>,
    private val underCapacity: Set<String> = emptySet(),
) {
    private val spares: MutableMap<String, Int> =
        staged
            .filterNotNull()
            .groupingBy { it }
            .eachCount()
            .toMutableMap()

    /** The model that a target with [current] should load, or null where it should stay as it is. */
    fun nextModel(current: String?): ModelDefinition? {
        val best = models.maxByOrNull { marginalValue(it, spareCount(it.name)) } ?: return null
        val held = models.firstOrNull { it.name == current } ?: return best
        if (best == held || isAwaitingMembers(held)) return null
        val currentValue = marginalValue(held, spareCount(held.name) - 1)
        return best.takeIf { marginalValue(it, spareCount(it.name)) > currentValue * MIN_LOAD_GAIN }
    }

    /** A target changes from [before] to [after]. */
    fun recordReplacement(
        before: String?,
        after: String,
    ) {
        if (before != null) spares.computeIfPresent(before) { _, spareCount -> spareCount - 1 }
        spares.merge(after, 1, Int::plus)
    }

    /**
     * What one more spare of [model] is worth beside [otherSpares]. A group's traffic falls with its size and its risk
     * grows with it, so the share alone remains.
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

    /** Survivors of a lost group wait for the members that they lack. */
    private fun isAwaitingMembers(model: ModelDefinition): Boolean =
        hasNoGroup(model) && spareCount(model.name) <= model.size

    private fun spareCount(model: String): Int = spares[model] ?: 0

    private companion object {
        /** A spare that stands by is needed about once in four of the times that one takes to load. */
        const val REQUIRED_MEMBER_WEIGHT = 4.0

        /** A load takes long and its target is of no use meanwhile, so small gains aren't worth one. */
        const val MIN_LOAD_GAIN = 1.5
    }
}
