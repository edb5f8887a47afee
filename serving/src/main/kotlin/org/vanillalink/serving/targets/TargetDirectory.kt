/*
 * The targets that the registry lists.
 *
 * An entry that expires while the registry is unreachable proves nothing: its target may be alive and listed again
 * soon. So missing entries are kept for a short time after an outage, and removed if they are still missing then.
 */
package org.vanillalink.serving.targets

import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.HostId

/** Immutable directory; [entries] includes those kept while missing. Times are milliseconds on the steady clock. */
data class TargetDirectory(
    val entries: Map<HostId, TargetEntry> = emptyMap(),
    private val missingKeptUntil: Map<HostId, Long> = emptyMap(),
    /** The last state of entries that were removed recently. Their targets may still be running. */
    val removedEntries: Map<HostId, TargetEntry> = emptyMap(),
    private val removedKeptUntil: Map<HostId, Long> = emptyMap(),
) {
    /** Returns the directory after [entry] was added or changed. */
    fun withEntry(entry: TargetEntry): TargetDirectory {
        val isUnchanged = entries[entry.id] == entry && entry.id !in missingKeptUntil && entry.id !in removedEntries
        if (isUnchanged) return this
        return copy(
            entries = entries + (entry.id to entry),
            missingKeptUntil = missingKeptUntil - entry.id,
            removedEntries = removedEntries - entry.id,
        )
    }

    /** Returns the directory after an entry was removed at [now] while the registry was reachable. */
    fun withoutEntry(
        id: HostId,
        now: Long,
    ): TargetDirectory {
        val entry = entries[id] ?: return this
        return copy(
            entries = entries - id,
            missingKeptUntil = missingKeptUntil - id,
            removedEntries = removedEntries + (id to entry),
            removedKeptUntil = removedKeptUntil + (id to now + REMOVED_RETENTION_MILLISECONDS),
        )
    }

    /** Returns the directory after a full read; entries missing from [snapshot] are kept until [keepMissingUntil]. */
    fun withSnapshot(
        snapshot: Collection<TargetEntry>,
        keepMissingUntil: Long,
    ): TargetDirectory {
        val listed = snapshot.associateBy { it.id }
        val missing = entries.keys - listed.keys
        return copy(
            entries = entries.filterKeys { it in missing } + listed,
            missingKeptUntil =
                missing.associateWith {
                    minOf(
                        keepMissingUntil,
                        missingKeptUntil[it] ?: keepMissingUntil,
                    )
                },
        )
    }

    /** The highest epoch of a group that a listed target in [failureDomain] is in, or 0. */
    fun highestEpoch(failureDomain: FailureDomainId): Long =
        entries.values.filter { it.failureDomain == failureDomain }.maxOfOrNull { it.membership?.epoch ?: 0 } ?: 0

    /** Removes entries that are still missing at [now], and drops those that were removed long ago. */
    fun withoutExpired(now: Long): TargetDirectory {
        val expired = missingKeptUntil.filterValues { it <= now }.keys
        val outdated = removedKeptUntil.filterValues { it <= now }.keys
        if (expired.isEmpty() && outdated.isEmpty()) return this
        val withoutOutdated =
            copy(
                removedEntries = removedEntries - outdated,
                removedKeptUntil =
                    removedKeptUntil - outdated,
            )
        return expired.fold(withoutOutdated) { directory, id -> directory.withoutEntry(id, now) }
    }

    private companion object {
        /** Longer than a target is likely to be disconnected from the registry. */
        const val REMOVED_RETENTION_MILLISECONDS = 30_000L
    }
}
