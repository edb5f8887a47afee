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
) {
    /** An entry was written or changed. */
    fun listed(entry: TargetEntry): TargetDirectory =
        copy(entries = entries + (entry.id to entry), missingUntil = missingUntil - entry.id)

    /** An entry was removed while the registry was in good order. */
    fun removed(id: HostId): TargetDirectory = copy(entries = entries - id, missingUntil = missingUntil - id)

    /** The whole list was read after an outage; entries missing from it are kept until [until]. */
    fun replaced(
        listed: Collection<TargetEntry>,
        until: Long,
    ): TargetDirectory {
        val present = listed.associateBy { it.id }
        val missing = entries.keys - present.keys
        return TargetDirectory(
            entries = entries.filterKeys { it in missing } + present,
            missingUntil = missing.associateWith { minOf(until, missingUntil[it] ?: until) },
        )
    }

    /** Drops what has been missing until [now]. */
    fun expired(now: Long): TargetDirectory {
        val gone = missingUntil.filterValues { it <= now }.keys
        if (gone.isEmpty()) return this
        return TargetDirectory(entries - gone, missingUntil - gone)
    }

    /** Whether [id] is kept although the list lacks it. */
    fun isMissing(id: HostId): Boolean = id in missingUntil
}
