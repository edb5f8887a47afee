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
 * [groupsHere] and [groupsInDomain] count standing groups by model, here and in the whole failure domain; [short] names
 * models whose groups can't take what callers ask for.
 */
internal class SpareChoice(
    private val models: List<ModelDefinition>,
    staged: List<String?>,
    private val groupsHere: Map<String, Int>,
    private val groupsInDomain: Map<String, Int>,
    private val short: Set<String> = emptySet(),
) {
    private val spares: MutableMap<String, Int> =
        staged
            .filterNotNull()
            .groupingBy { it }
            .eachCount()
            .toMutableMap()

    /** The model that a target with [current] should load, or null where it should stay as it is. */
    fun next(current: String?): ModelDefinition? {
        val best = models.maxByOrNull { value(it, count(it.name)) } ?: return null
        val held = models.firstOrNull { it.name == current } ?: return best
        if (best == held || isMemberInWaiting(held)) return null
        val worthNow = value(held, count(held.name) - 1)
        return best.takeIf { value(it, count(it.name)) > worthNow * GAIN_WORTH_A_LOAD }
    }

    /** A target changes from [before] to [after]. */
    fun replaced(
        before: String?,
        after: String,
    ) {
        if (before != null) spares.computeIfPresent(before) { _, count -> count - 1 }
        spares.merge(after, 1, Int::plus)
    }

    /**
     * What one more spare of [model] is worth beside [others]. A group's traffic falls with its size and its risk grows
     * with it, so the share alone remains.
     */
    private fun value(
        model: ModelDefinition,
        others: Int,
    ): Double {
        val harm = model.share / maxOf(1, groupsInDomain[model.name] ?: 0)
        val isNeeded = isMissing(model) || model.name in short
        if (isNeeded && others < model.size) return harm * CERTAIN
        return harm / ((others + 1) * (others + 1))
    }

    private fun isMissing(model: ModelDefinition): Boolean = (groupsHere[model.name] ?: 0) == 0

    /** Survivors of a lost group wait for the members that they lack. */
    private fun isMemberInWaiting(model: ModelDefinition): Boolean = isMissing(model) && count(model.name) <= model.size

    private fun count(model: String): Int = spares[model] ?: 0

    private companion object {
        /** A spare that stands by is needed about once in four of the times that one takes to load. */
        const val CERTAIN = 4.0

        /** A load takes long and its target is of no use meanwhile, so small gains aren't worth one. */
        const val GAIN_WORTH_A_LOAD = 1.5
    }
}
