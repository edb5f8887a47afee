/*
 * The implementations of [RepairOrder].
 */
package org.vanillalink.groups

import org.vanillalink.model.ServiceName

/** Repairs in the order of arrival; the baseline of measurements. */
class ArrivalOrder : RepairOrder {
    override fun order(
        incomplete: List<IncompleteGroup>,
        availability: Map<ServiceName, ServiceAvailability>,
    ): List<IncompleteGroup> = incomplete
}

/** The service with the smallest serving fraction first, then by priority, then by the fewest weight loads. */
class LeastAvailableServiceFirst : RepairOrder {
    override fun order(
        incomplete: List<IncompleteGroup>,
        availability: Map<ServiceName, ServiceAvailability>,
    ): List<IncompleteGroup> {
        val remaining = incomplete.toMutableList()
        val updatedAvailability = availability.toMutableMap()
        return List(incomplete.size) {
            val next = remaining.minWith(compareUrgency(updatedAvailability))
            remaining.remove(next)
            val current = updatedAvailability[next.service] ?: ServiceAvailability(0, 1)
            updatedAvailability[next.service] = current.copy(serving = current.serving + 1)
            next
        }
    }

    private fun compareUrgency(availability: Map<ServiceName, ServiceAvailability>): Comparator<IncompleteGroup> =
        compareBy<IncompleteGroup> { availability[it.service]?.servingFraction ?: 0.0 }
            .thenByDescending { it.priority }
            .thenBy { it.requiredLoads }
            .thenBy { it.group }
}
