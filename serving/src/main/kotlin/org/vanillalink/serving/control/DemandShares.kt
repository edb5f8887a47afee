/*
 * Divides targets among models by the measured demand of callers, or as configured until demand is known.
 */
package org.vanillalink.serving.control

import org.vanillalink.serving.catalog.EngineDefinition
import org.vanillalink.serving.catalog.ModelDefinition

/** [demand] holds the slots that callers need at once, by model. */
internal class DemandShares(
    private val engine: EngineDefinition,
    private val demand: Map<String, Double>,
) {
    private val membersInDemand: Map<String, Double> =
        engine.models.associate { it.name to (demand[it.name] ?: 0.0) / engine.slots * it.size }
    private val totalMembers = membersInDemand.values.sum()

    /** The fraction of all group members that [model] should have. */
    fun memberShare(model: ModelDefinition): Double {
        if (totalMembers < MIN_MEASURED_MEMBERS) return model.share
        val measuredShare = membersInDemand.getValue(model.name) / totalMembers
        return MEASURED_WEIGHT * measuredShare + (1 - MEASURED_WEIGHT) * model.share
    }

    /** Whether demand exceeds what [groups] groups of [model] can serve with a margin for fluctuations. */
    fun isUnderCapacity(
        model: ModelDefinition,
        groups: Int,
    ): Boolean = (demand[model.name] ?: 0.0) > groups * engine.slots * MAX_SLOT_UTILIZATION

    /** Whether [groups] groups of a model that was short serve its demand, and not just barely. */
    fun hasRecovered(
        model: ModelDefinition,
        groups: Int,
    ): Boolean = (demand[model.name] ?: 0.0) < groups * engine.slots * RECOVERED_SLOT_UTILIZATION

    /** Whether [groups] groups of [model] have far more slots than callers need. */
    fun hasAmpleRoom(
        model: String,
        groups: Int,
    ): Boolean = (demand[model] ?: 0.0) <= groups * engine.slots * AMPLE_SLOT_UTILIZATION

    /** The slots of [groups] groups of [model] that callers don't need; negative if they need more. */
    fun idleSlots(
        model: String,
        groups: Int,
    ): Double = groups * engine.slots - (demand[model] ?: 0.0)

    /** The fraction of the demand for [model] that [groups] groups can serve at most; over 1 if there is room. */
    fun servedFraction(
        model: String,
        groups: Int,
    ): Double {
        val needed = demand[model] ?: 0.0
        return if (needed > 0) groups * engine.slots / needed else Double.MAX_VALUE
    }

    private companion object {
        /** Below this, there are too few requests to estimate the shares. */
        const val MIN_MEASURED_MEMBERS = 0.5

        /**
         * The configured share keeps the remaining weight, so that a model without requests for a while keeps capacity.
         */
        const val MEASURED_WEIGHT = 0.8

        /** With a higher utilization, groups refuse requests during fluctuations of a second. */
        const val MAX_SLOT_UTILIZATION = 0.7

        /** Less than [MAX_SLOT_UTILIZATION] by what the estimate of a steady demand fluctuates. */
        const val RECOVERED_SLOT_UTILIZATION = 0.6

        /** So far below [MAX_SLOT_UTILIZATION] that a group that was given up isn't needed back soon. */
        const val AMPLE_SLOT_UTILIZATION = 0.5
    }
}
