/*
 * The rows that still have to be written to the table. While the platform is down they are the controller's journal.
 */
package org.vanillalink.groups

import org.vanillalink.model.FencingNumber
import org.vanillalink.model.HostId
import org.vanillalink.store.ConditionalWrite
import org.vanillalink.store.RowKey

/** Compares the controller's groups and claims with the stored rows. */
internal class UnwrittenRows(
    private val settings: GroupSettings,
) {
    /** Returns the rows that have to be written, all of them in one transaction. */
    fun find(view: ControllerView): Map<RowKey, String> = groupRows(view) + claimRows(view)

    /** Returns [rows] as writes that fail if any of the rows was changed by another writer. */
    fun toConditionalWrites(
        state: ControllerState,
        rows: Map<RowKey, String>,
    ): List<ConditionalWrite> = rows.map { (key, value) ->
        ConditionalWrite(key, state.storedRows[key]?.version ?: ConditionalWrite.ABSENT, value)
    }

    /** A host's row must have been read before it is written; a group row that the scan did not return is absent. */
    private fun canBeWritten(
        view: ControllerView,
        key: RowKey,
    ): Boolean = key in view.state.storedRows ||
        (GroupRows.decodeGroupId(key) != null && key !in view.state.keysWithUnknownVersion)

    private fun groupRows(view: ControllerView): Map<RowKey, String> {
        val stored = view.state.storedRows.groups
        val differing =
            view.state.groups.values
                .filter { stored[it.group] != it.row }
        return differing
            .associate { GroupRows.groupKey(it.group) to it.row }
            .filterKeys { canBeWritten(view, it) }
            .mapValues { GroupRows.encode(it.value) }
    }

    private fun claimRows(view: ControllerView): Map<RowKey, String> {
        val stored = view.state.storedRows.claims
        val members = view.state.groupsByMember()
        val claims =
            members.mapValues { (_, group) ->
                HostClaim(view.state.fencingNumber, group.group, group.row.generation)
            }
        val wanted = claims + spareClaims(view, members.keys)
        return wanted
            .filter { (host, claim) -> stored[host] != claim }
            .mapKeys { GroupRows.hostKey(it.key) }
            .filterKeys { canBeWritten(view, it) }
            .mapValues { GroupRows.encode(it.value) }
    }

    private fun spareClaims(
        view: ControllerView,
        assigned: Set<HostId>,
    ): Map<HostId, HostClaim> {
        val remaining = storedHosts(view).filter { it !in assigned && view.state.owns(it) }
        val spare = HostClaim(if (settings.claimsSparesInAdvance) view.state.fencingNumber else FencingNumber.NONE)
        val claimable = if (settings.claimsSparesInAdvance) view.freeHosts() else emptyList()
        return (remaining + claimable).associateWith { spare }
    }

    private fun storedHosts(view: ControllerView): Set<HostId> = view.state.storedRows.claims.keys
}
