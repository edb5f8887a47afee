/*
 * The store's era, which rises each time the store comes back from an older copy.
 *
 * Such a store has lost what was written last, and gives out versions a second time. So nothing that was read in one
 * era may be compared or combined with what is read in another.
 */
package org.vanillalink.gateway.control

import org.vanillalink.gateway.ports.RegistryPart

/** A change of the era, as noticed while [part] was followed. */
internal data class StoreRestoration(
    val part: RegistryPart,
    val previousEra: Long?,
    val era: Long?,
    /** The version that was followed in the previous era, or null. */
    val previousVersion: Long?,
    /** The version of the first response in the new era. */
    val version: Long,
)

/** What a response shows about the era. */
internal data class EraObservation(
    val era: StoreEra,
    /** Whether the response belongs to [era]. */
    val isUsable: Boolean,
    /** Whether a new era has begun. */
    val isRestored: Boolean,
)

/** The era [current], or null before the first is known; times are milliseconds on the steady clock. */
internal data class StoreEra(
    val current: Long? = null,
    private val learnedAt: Long = Long.MIN_VALUE,
) {
    /** Returns what a response that names [observed] shows, to a request that was sent at [requestedAt]. */
    fun observe(
        observed: Long?,
        requestedAt: Long,
        now: Long,
    ): EraObservation {
        if (observed == null || observed == current) return EraObservation(this, isUsable = true, isRestored = false)
        if (current == null) return EraObservation(StoreEra(observed, now), isUsable = true, isRestored = false)
        // A lower era in response to an old request is late; in response to a new one, the store has it.
        val isLate = observed < current && requestedAt <= learnedAt
        if (isLate) return EraObservation(this, isUsable = false, isRestored = false)
        return EraObservation(StoreEra(observed, now), isUsable = true, isRestored = true)
    }
}
