/*
 * Orders of repairs.
 */
package org.vanillalink.groups

import org.vanillalink.model.ServiceName

/** The baseline: first come, first repaired. */
class ArrivalOrder : RepairOrder {
    override fun order(
        lacking: List<LackingGroup>,
        standings: Map<ServiceName, ServiceStanding>,
    ): List<LackingGroup> = lacking
}

/** The service with the smallest serving part first, then by priority, then what needs the fewest loads. */
class MostServiceFirst : RepairOrder {
    override fun order(
        lacking: List<LackingGroup>,
        standings: Map<ServiceName, ServiceStanding>,
    ): List<LackingGroup> {
        val remaining = lacking.toMutableList()
        val standing = standings.toMutableMap()
        return List(lacking.size) {
            val next = remaining.minWith(urgency(standing))
            remaining.remove(next)
            val before = standing[next.service] ?: ServiceStanding(0, 1)
            standing[next.service] = before.copy(serving = before.serving + 1)
            next
        }
    }

    private fun urgency(standings: Map<ServiceName, ServiceStanding>): Comparator<LackingGroup> =
        compareBy<LackingGroup> { standings[it.service]?.fraction ?: 0.0 }
            .thenByDescending { it.priority }
            .thenBy { it.loads }
            .thenBy { it.group }
}
