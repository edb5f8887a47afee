/*
 * How current the registry's entries of targets are known to be. Targets write how they stand only some time after an
 * outage of the store, and what happened to them meanwhile is known to nobody but the daemon that had control.
 */
package org.vanillalink.gateway.control

/** Times are milliseconds on the steady clock. */
internal data class RegistryCurrency(
    /** Entries are as of this time or later. */
    val knownAt: Long = NEVER,
    /** When the store was last noticed to be away. */
    val lostAt: Long = NEVER,
    /** When the entries were first read after that. */
    val backAt: Long = NEVER,
) {
    /** Whether a daemon that took control at [takenAt] may decide by the entries. */
    fun allows(takenAt: Long): Boolean {
        if (knownAt <= takenAt) return false
        val wasHeldThroughout = takenAt + ENTRIES_CURRENT_MILLISECONDS < lostAt
        return wasHeldThroughout || knownAt > backAt + ENTRIES_CURRENT_MILLISECONDS
    }

    private companion object {
        const val NEVER = Long.MIN_VALUE / 2

        /** Targets write their entries within two seconds of the store's return. */
        const val ENTRIES_CURRENT_MILLISECONDS = 2_200L
    }
}
