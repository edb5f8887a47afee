/*
 * How current the targets' entries in the registry are. Targets update their entries only some time after a store
 * outage, and until then only the daemon that had control knows what happened to them.
 */
package org.vanillalink.gateway.control

/** Times are milliseconds on the steady clock. */
internal data class RegistryFreshness(
    /** The entries reflect the registry at this time or later. */
    val currentAsOf: Long = NEVER,
    /** When the last store outage was noticed. */
    val storeLostAt: Long = NEVER,
    /** When the entries were first read after that outage. */
    val storeRegainedAt: Long = NEVER,
) {
    /** Whether a daemon that took control at [controlTakenAt] may base decisions on the entries. */
    fun allowsDecisions(controlTakenAt: Long): Boolean {
        if (currentAsOf <= controlTakenAt) return false
        val wasHeldThroughout = controlTakenAt + ENTRY_UPDATE_MILLISECONDS < storeLostAt
        return wasHeldThroughout || currentAsOf > storeRegainedAt + ENTRY_UPDATE_MILLISECONDS
    }

    private companion object {
        const val NEVER = Long.MIN_VALUE / 2

        /** Targets update their entries within two seconds of the store's recovery. */
        const val ENTRY_UPDATE_MILLISECONDS = 2_200L
    }
}
