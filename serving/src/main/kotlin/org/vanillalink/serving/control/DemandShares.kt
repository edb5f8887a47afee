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
    private val membersInDemand: Map<String, Double> =
        engine.models.associate { it.name to (demand[it.name] ?: 0.0) / engine.slots * it.size }
    private val totalMembers = membersInDemand.values.sum()

    /** The part of all members in groups that [model] should have. */
    fun memberShare(model: ModelDefinition): Double {
        if (totalMembers < MIN_MEASURED_MEMBERS) return model.share
        val measuredShare = membersInDemand.getValue(model.name) / totalMembers
        return MEASURED_WEIGHT * measuredShare + (1 - MEASURED_WEIGHT) * model.share
    }

    /** Whether callers ask for more than [groups] groups of [model] can take with a little room for chance. */
    fun isUnderCapacity(
        model: ModelDefinition,
        groups: Int,
    ): Boolean = (demand[model.name] ?: 0.0) > groups * engine.slots * MAX_SLOT_UTILIZATION

    private companion object {
        /** A few requests say nothing of the share. */
        const val MIN_MEASURED_MEMBERS = 0.5

        /** What is configured holds a part, so that a model that is quiet for a while keeps some room. */
        const val MEASURED_WEIGHT = 0.8

        /** With more of their places filled, groups turn requests away in the ups and downs of a second. */
        const val MAX_SLOT_UTILIZATION = 0.7
    }
}
