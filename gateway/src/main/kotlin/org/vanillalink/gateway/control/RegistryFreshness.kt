/*
 * How current the registry's entries of targets are known to be. Targets write how they stand only some time after an
 * outage of the store, and what happened to them meanwhile is known to nobody but the daemon that had control.
 */
package org.vanillalink.gateway.control

/** Times are milliseconds on the steady clock. */
internal data class RegistryFreshness(
    /** Entries are as of this time or later. */
    val currentAsOf: Long = NEVER,
    /** When the store was last noticed to be away. */
    val storeLostAt: Long = NEVER,
    /** When the entries were first read after that. */
    val storeRegainedAt: Long = NEVER,
) {
    /** Whether a daemon that took control at [controlTakenAt] may decide by the entries. */
    fun allowsDecisions(controlTakenAt: Long): Boolean {
        if (currentAsOf <= controlTakenAt) return false
        val wasHeldThroughout = controlTakenAt + ENTRY_UPDATE_MILLISECONDS < storeLostAt
        return wasHeldThroughout || currentAsOf > storeRegainedAt + ENTRY_UPDATE_MILLISECONDS
    }

    private companion object {
        const val NEVER = Long.MIN_VALUE / 2

        /** Targets write their entries within two seconds of the store's return. */
        const val ENTRY_UPDATE_MILLISECONDS = 2_200L
    }
}
