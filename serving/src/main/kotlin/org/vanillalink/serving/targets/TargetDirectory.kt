/*
 * The targets that the registry lists.
 *
 * An entry that lapses while the registry can't be reached proves nothing: its target may live and be back in the list
 * soon after. So for a short time after an outage missing entries are kept; those that are still missing then are gone.
 */
package org.vanillalink.serving.targets

import org.vanillalink.model.HostId

/** The entries in force, and those kept although they are missing. Times are milliseconds on the steady clock. */
data class TargetDirectory(
    val entries: Map<HostId, TargetEntry> = emptyMap(),
    private val missingKeptUntil: Map<HostId, Long> = emptyMap(),
    /** Entries that were removed lately, as they last stood. Their targets may still work. */
    val removedEntries: Map<HostId, TargetEntry> = emptyMap(),
    private val removedKeptUntil: Map<HostId, Long> = emptyMap(),
) {
    /** An entry was written or changed. */
    fun withEntry(entry: TargetEntry): TargetDirectory {
        val isUnchanged = entries[entry.id] == entry && entry.id !in missingKeptUntil && entry.id !in removedEntries
        if (isUnchanged) return this
        return copy(
            entries = entries + (entry.id to entry),
            missingKeptUntil = missingKeptUntil - entry.id,
            removedEntries = removedEntries - entry.id,
        )
    }

    /** An entry was removed at [now], while the registry was in good order. */
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

    /** The whole list was read after an outage; entries missing from it are kept until [keepMissingUntil]. */
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

    /** Drops what has been missing until [now], and forgets what was removed long ago. */
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
        /** Longer than any cut between a target and the registry is likely to last. */
        const val REMOVED_RETENTION_MILLISECONDS = 30_000L
    }
}
