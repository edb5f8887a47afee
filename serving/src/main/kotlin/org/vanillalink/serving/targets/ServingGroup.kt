/*
 * Serving groups, derived from the registry's entries.
 */
package org.vanillalink.serving.targets

import org.vanillalink.serving.catalog.EngineDefinition

/** Identifies a group with one set of members; a group that is formed again gets a higher epoch. */
data class GroupKey(
    val group: String,
    val epoch: Long,
)

/** A group whose head is open. [members] holds the listed members in order of rank. */
data class ServingGroup(
    val key: GroupKey,
    val model: String,
    val head: TargetEntry,
    val members: List<TargetEntry>,
)

/** Finds groups among entries. */
object ServingGroups {
    /** Returns the groups whose head is open, with the members that are listed in them. */
    fun open(entries: Collection<TargetEntry>): List<ServingGroup> = entries
        .filter { it.membership != null }
        .groupBy { entry -> entry.membership!!.key }
        .mapNotNull { (key, members) -> toServingGroup(key, members) }

    /** Returns the open groups that have all members that [engine] requires, none of which is leaving. */
    fun complete(
        entries: Collection<TargetEntry>,
        engine: EngineDefinition,
    ): List<ServingGroup> = open(entries)
        .filter { group -> group.members.size == engine.groupSize(group.model) }
        .filter { group -> group.members.none { it.isLeaving } }

    private fun toServingGroup(
        key: GroupKey,
        members: List<TargetEntry>,
    ): ServingGroup? {
        val membersByRank = members.sortedBy { it.membership?.rank }
        val head = membersByRank.first().takeIf { it.membership?.rank == 0 } ?: return null
        if (head.membership?.state != MemberState.OPEN) return null
        val model = head.model ?: return null
        return ServingGroup(key, model, head, membersByRank)
    }
}
