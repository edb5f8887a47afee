/*
 * How targets are shared out among models: by what callers ask for, or as configured while nothing is known of that.
 */
package org.vanillalink.serving.control

import org.vanillalink.serving.catalog.EngineDefinition
import org.vanillalink.serving.catalog.ModelDefinition

/** [demand] holds the places that callers ask for at once, by model. */
internal class DemandShares(
    private val engine: EngineDefinition,
    private val demand: Map<String, Double>,
) {
    private val members: Map<String, Double> =
        engine.models.associate { it.name to (demand[it.name] ?: 0.0) / engine.slots * it.size }
    private val total = members.values.sum()

    /** The part of all members in groups that [model] should have. */
    fun of(model: ModelDefinition): Double {
        if (total < KNOWN_MEMBERS) return model.share
        val measured = members.getValue(model.name) / total
        return MEASURED_WEIGHT * measured + (1 - MEASURED_WEIGHT) * model.share
    }

    /** Whether callers ask for more than [groups] groups of [model] can take with a little room for chance. */
    fun isShort(
        model: ModelDefinition,
        groups: Int,
    ): Boolean = (demand[model.name] ?: 0.0) > groups * engine.slots * FILLED_PLACES

    private companion object {
        /** A few requests say nothing of the share. */
        const val KNOWN_MEMBERS = 0.5

        /** What is configured holds a part, so that a model that is quiet for a while keeps some room. */
        const val MEASURED_WEIGHT = 0.8

        /** With more of their places filled, groups turn requests away in the ups and downs of a second. */
        const val FILLED_PLACES = 0.7
    }
}
