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
    private val missingUntil: Map<HostId, Long> = emptyMap(),
    /** Entries that were removed lately, as they last stood. Their targets may still work. */
    val former: Map<HostId, TargetEntry> = emptyMap(),
    private val formerUntil: Map<HostId, Long> = emptyMap(),
) {
    /** An entry was written or changed. */
    fun listed(entry: TargetEntry): TargetDirectory {
        val isKnown = entries[entry.id] == entry && entry.id !in missingUntil && entry.id !in former
        if (isKnown) return this
        return copy(
            entries = entries + (entry.id to entry),
            missingUntil = missingUntil - entry.id,
            former = former - entry.id,
        )
    }

    /** An entry was removed at [now], while the registry was in good order. */
    fun removed(
        id: HostId,
        now: Long,
    ): TargetDirectory {
        val entry = entries[id] ?: return this
        return copy(
            entries = entries - id,
            missingUntil = missingUntil - id,
            former = former + (id to entry),
            formerUntil = formerUntil + (id to now + FORMER_MILLISECONDS),
        )
    }

    /** The whole list was read after an outage; entries missing from it are kept until [until]. */
    fun replaced(
        listed: Collection<TargetEntry>,
        until: Long,
    ): TargetDirectory {
        val present = listed.associateBy { it.id }
        val missing = entries.keys - present.keys
        return copy(
            entries = entries.filterKeys { it in missing } + present,
            missingUntil = missing.associateWith { minOf(until, missingUntil[it] ?: until) },
        )
    }

    /** Drops what has been missing until [now], and forgets what was removed long ago. */
    fun expired(now: Long): TargetDirectory {
        val gone = missingUntil.filterValues { it <= now }.keys
        val old = formerUntil.filterValues { it <= now }.keys
        if (gone.isEmpty() && old.isEmpty()) return this
        val forgotten = copy(former = former - old, formerUntil = formerUntil - old)
        return gone.fold(forgotten) { directory, id -> directory.removed(id, now) }
    }

    private companion object {
        /** Longer than any cut between a target and the registry is likely to last. */
        const val FORMER_MILLISECONDS = 30_000L
    }
}
