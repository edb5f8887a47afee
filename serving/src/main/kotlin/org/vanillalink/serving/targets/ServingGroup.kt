/*
 * Serving groups as the registry's entries show them.
 */
package org.vanillalink.serving.targets

import org.vanillalink.serving.catalog.EngineDefinition

/** The name of one set of members; a group that is formed anew has a greater epoch. */
data class GroupKey(
    val group: String,
    val epoch: Long,
)

/** A group whose head is open. [members] are in order of rank, as far as they are listed. */
data class ServingGroup(
    val key: GroupKey,
    val model: String,
    val head: TargetEntry,
    val members: List<TargetEntry>,
)

/** Finds groups among entries. */
object ServingGroups {
    /** The groups among [entries] whose head is open, with the members that still list themselves in it. */
    fun open(entries: Collection<TargetEntry>): List<ServingGroup> = entries
        .filter { it.membership != null }
        .groupBy { entry -> entry.membership!!.key }
        .mapNotNull { (key, members) -> toServingGroup(key, members) }

    /** The groups among [entries] that have all members that [engine] asks for, none of which leaves. */
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
