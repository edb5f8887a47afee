/*
 * Tracks the members of each group beyond what the registry currently lists: a member that is no longer listed may only
 * be disconnected from the registry and still be running.
 */
package org.vanillalink.serving.control

import org.vanillalink.model.HostId
import org.vanillalink.serving.targets.GroupKey
import org.vanillalink.serving.targets.TargetEntry

internal object Rosters {
    /** Returns [previous] updated from [view], without groups of which no member was listed after [retainedSince]. */
    fun update(
        previous: Map<GroupKey, Roster>,
        view: DomainView,
        now: Long,
        retainedSince: Long,
    ): Map<GroupKey, Roster> {
        val listed = view.entries.values.groupBy(::key)
        val removed =
            view.removedEntries.values
                .filter { it.id !in view.entries }
                .groupBy(::key)
        val keys = previous.keys + listed.keys.filterNotNull()
        return keys
            .associateWith { key ->
                roster(key, previous[key], listed[key].orEmpty(), removed[key].orEmpty(), view, now)
            }.filterValues { it.members.isNotEmpty() && it.seenAt > retainedSince }
    }

    private fun roster(
        key: GroupKey,
        previousRoster: Roster?,
        listed: List<TargetEntry>,
        removed: List<TargetEntry>,
        view: DomainView,
        now: Long,
    ): Roster {
        val remembered =
            previousRoster?.members.orEmpty().filterKeys { id ->
                isStillMember(key, previousRoster, id, view)
            }
        val members = removed.associateBy { it.id } + remembered + listed.associateBy { it.id }
        val seenAt = if (listed.isEmpty()) previousRoster?.seenAt ?: now else now
        return Roster(members, previousRoster?.firstSeenAt ?: now, seenAt)
    }

    private fun isStillMember(
        key: GroupKey,
        previousRoster: Roster?,
        id: HostId,
        view: DomainView,
    ): Boolean {
        val listed = view.entries[id] ?: return true
        return key(listed) == key && listed.instance == previousRoster?.members?.get(id)?.instance
    }

    private fun key(entry: TargetEntry): GroupKey? = entry.membership?.key
}
