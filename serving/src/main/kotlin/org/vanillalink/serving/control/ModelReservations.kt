/*
 * Targets that a fabric domain keeps for models without a group there, so that groups of a smaller model don't take the
 * last ones that a larger model needs.
 */
package org.vanillalink.serving.control

import org.vanillalink.serving.catalog.ModelDefinition

/**
 * Divides [available] targets, free now or soon, among [missing]: models without a group in the fabric domain, in the
 * order in which they get targets if there aren't enough for all.
 */
internal class ModelReservations(
    private val missing: List<ModelDefinition>,
    private val available: Int,
) {
    /** The models that get a group, the largest first: it has the fewest targets to choose from. */
    val reserved: List<ModelDefinition> = reserve()

    /** The largest model that has no group and too few targets for one, or null. */
    val largestUnattainable: ModelDefinition? = (missing - reserved.toSet()).maxByOrNull { it.size }

    /** The number of targets that [model] may use without those reserved for the models that [yields] doesn't name. */
    fun availableFor(
        model: ModelDefinition,
        yields: (ModelDefinition) -> Boolean,
    ): Int = available - reserved.filter { it.name != model.name && !yields(it) }.sumOf { it.size }

    private fun reserve(): List<ModelDefinition> {
        var remaining = available
        val order = if (missing.sumOf { it.size } <= available) missing.sortedByDescending { it.size } else missing
        return order
            .filter { model -> (model.size <= remaining).also { fits -> if (fits) remaining -= model.size } }
            .sortedByDescending { it.size }
    }
}
