/*
 * What the table should hold and doesn't yet. While the platform is down this difference is the controller's journal.
 */
package org.vanillalink.groups

import org.vanillalink.model.FencingNumber
import org.vanillalink.model.HostId
import org.vanillalink.store.ConditionalWrite
import org.vanillalink.store.RowKey

/** Compares the controller's groups and claims with the stored rows. */
internal class RowJournal(
    private val settings: GroupSettings,
) {
    /** The rows that have to be written; all of them go into one transaction. */
    fun difference(view: ControllerView): Map<RowKey, String> = groupRows(view) + claimRows(view)

    /** [rows] as writes that lose to any other change of the same rows. */
    fun writes(
        state: ControllerState,
        rows: Map<RowKey, String>,
    ): List<ConditionalWrite> = rows.map { (key, value) ->
        ConditionalWrite(key, state.stored[key]?.version ?: ConditionalWrite.ABSENT, value)
    }

    /** A host's row must have been read before it is written; a group's row that the scan didn't show is absent. */
    private fun isKnown(
        view: ControllerView,
        key: RowKey,
    ): Boolean = key in view.state.stored || (GroupRows.groupOf(key) != null && key !in view.state.lostVersions)

    private fun groupRows(view: ControllerView): Map<RowKey, String> {
        val stored = view.state.stored.groups
        val differing =
            view.state.groups.values
                .filter { stored[it.group] != it.row }
        return differing
            .associate { GroupRows.groupKey(it.group) to it.row }
            .filterKeys { isKnown(view, it) }
            .mapValues { GroupRows.write(it.value) }
    }

    private fun claimRows(view: ControllerView): Map<RowKey, String> {
        val stored = view.state.stored.claims
        val members = view.state.membersOfAll()
        val claims = members.mapValues { (_, group) -> HostClaim(view.state.number, group.group, group.row.generation) }
        val wanted = claims + spareClaims(view, members.keys)
        return wanted
            .filter { (host, claim) -> stored[host] != claim }
            .mapKeys { GroupRows.hostKey(it.key) }
            .filterKeys { isKnown(view, it) }
            .mapValues { GroupRows.write(it.value) }
    }

    private fun spareClaims(
        view: ControllerView,
        taken: Set<HostId>,
    ): Map<HostId, HostClaim> {
        val left = storedHosts(view).filter { it !in taken && view.state.owns(it) }
        val spare = HostClaim(if (settings.claimsSparesInAdvance) view.state.number else FencingNumber.NONE)
        val claimable = if (settings.claimsSparesInAdvance) view.freeHosts() else emptyList()
        return (left + claimable).associateWith { spare }
    }

    private fun storedHosts(view: ControllerView): Set<HostId> = view.state.stored.claims.keys
}
