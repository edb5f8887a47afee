/*
 * Keeps track of who belongs to which group, beyond what the registry lists right now: a member that is no longer
 * listed may only be cut off from the registry, and still work.
 */
package org.vanillalink.serving.control

import org.vanillalink.model.HostId
import org.vanillalink.serving.targets.GroupKey
import org.vanillalink.serving.targets.TargetEntry

internal object Rosters {
    /** [known] with what [view] lists; groups of which nothing was listed since [oldest] are dropped. */
    fun update(
        known: Map<GroupKey, Roster>,
        view: DomainView,
        now: Long,
        oldest: Long,
    ): Map<GroupKey, Roster> {
        val listed = view.entries.values.groupBy(::key)
        val former =
            view.former.values
                .filter { it.id !in view.entries }
                .groupBy(::key)
        val keys = known.keys + listed.keys.filterNotNull()
        return keys
            .associateWith { key -> roster(key, known[key], listed[key].orEmpty(), former[key].orEmpty(), view, now) }
            .filterValues { it.members.isNotEmpty() && it.seenAt > oldest }
    }

    private fun roster(
        key: GroupKey,
        before: Roster?,
        listed: List<TargetEntry>,
        former: List<TargetEntry>,
        view: DomainView,
        now: Long,
    ): Roster {
        val remembered = before?.members.orEmpty().filterKeys { id -> isStill(key, before, id, view) }
        val members = former.associateBy { it.id } + remembered + listed.associateBy { it.id }
        val seenAt = if (listed.isEmpty()) before?.seenAt ?: now else now
        return Roster(members, before?.firstSeenAt ?: now, seenAt)
    }

    private fun isStill(
        key: GroupKey,
        before: Roster?,
        id: HostId,
        view: DomainView,
    ): Boolean {
        val listed = view.entries[id] ?: return true
        return key(listed) == key && listed.instance == before?.members?.get(id)?.instance
    }

    private fun key(entry: TargetEntry): GroupKey? = entry.membership?.key
}
