/*
 * The intended members of a serving group. Routers obtain it from the group's row, from the controller or from peers.
 */
package org.vanillalink.groups

import org.vanillalink.model.Assignment
import org.vanillalink.model.Generation
import org.vanillalink.model.GroupId
import org.vanillalink.model.HostId
import org.vanillalink.model.ServiceName

/** A group's [members] in the order of their ranks under [generation]. */
data class GroupDescription(
    val service: ServiceName,
    val group: GroupId,
    val generation: Generation,
    val members: List<HostId>,
) {
    /** The assignment that [host] should report, or null if it is not a member. */
    fun assignmentFor(host: HostId): Assignment? {
        val rank = members.indexOf(host)
        if (rank < 0) return null
        return Assignment(service, group, generation, rank, members.size)
    }
}
