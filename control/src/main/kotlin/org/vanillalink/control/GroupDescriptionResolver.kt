/*
 * Finds out from reports alone what serving groups consist of.
 *
 * Routers use no other source: a group whose members all report the same generation is described by them, whoever
 * formed it and whether or not the platform or a controller can be reached.
 */
package org.vanillalink.control

import org.vanillalink.groups.GroupDescription
import org.vanillalink.groups.ReceivedReport
import org.vanillalink.model.GroupId
import org.vanillalink.model.HostId
import org.vanillalink.model.TargetReport

internal object GroupDescriptionResolver {
    /** The newest generation of [group] that every one of its ranks reports, or null where there is none. */
    fun resolve(
        group: GroupId,
        reports: Map<HostId, ReceivedReport>,
    ): GroupDescription? = reports.values
        .map { it.report }
        .filter { it.assignment?.group == group }
        .groupBy { it.assignment?.generation }
        .values
        .mapNotNull(::describe)
        .maxByOrNull { it.generation }

    private fun describe(members: List<TargetReport>): GroupDescription? {
        val assignment = members.first().assignment ?: return null
        val byRank = members.associateBy { it.assignment?.rank }
        val ranks = (0 until assignment.size).map { rank -> byRank[rank]?.host ?: return null }
        return GroupDescription(assignment.service, assignment.group, assignment.generation, ranks)
    }
}
