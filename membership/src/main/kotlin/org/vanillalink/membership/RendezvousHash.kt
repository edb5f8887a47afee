/*
 * Rendezvous (highest random weight) hashing: daemons with the same set of active daemons make the same choice, and a
 * daemon that joins or leaves moves only its own share.
 */
package org.vanillalink.membership

import org.vanillalink.model.DaemonId
import org.vanillalink.model.HostId

/** Chooses daemons for keys; weights are FNV-1a hashes with a final mix. */
object RendezvousHash {
    /** Returns the [count] daemons with the highest weights for [key], highest first. */
    fun choose(
        key: String,
        daemons: Collection<DaemonId>,
        count: Int,
    ): List<DaemonId> = daemons
        .map { it to weight(key, it.value) }
        .sortedWith(compareByDescending<Pair<DaemonId, Long>> { it.second }.thenBy { it.first })
        .take(count)
        .map { it.first }

    /** Returns the observer among [daemons] of each of [targets]; empty if there are no daemons. */
    fun assignObservers(
        targets: Collection<HostId>,
        daemons: Collection<DaemonId>,
    ): Map<HostId, DaemonId> {
        if (daemons.isEmpty()) return emptyMap()
        return targets.associateWith { choose("target/$it", daemons, 1).first() }
    }

    private fun weight(
        key: String,
        daemon: String,
    ): Long {
        var hash = FNV_OFFSET_BASIS
        for (character in key) hash = (hash xor character.code.toLong()) * FNV_PRIME
        hash = (hash xor SEPARATOR) * FNV_PRIME
        for (character in daemon) hash = (hash xor character.code.toLong()) * FNV_PRIME
        return mix(hash)
    }

    /** Spreads small differences of the hash over all bits. */
    private fun mix(hash: Long): Long {
        val first = (hash xor (hash ushr FIRST_SHIFT)) * FIRST_FACTOR
        val second = (first xor (first ushr SECOND_SHIFT)) * SECOND_FACTOR
        return second xor (second ushr LAST_SHIFT)
    }

    private const val FNV_OFFSET_BASIS = -3_750_763_034_362_895_579L
    private const val FNV_PRIME = 1_099_511_628_211L
    private const val SEPARATOR = 255L
    private const val FIRST_SHIFT = 30
    private const val SECOND_SHIFT = 27
    private const val LAST_SHIFT = 31
    private const val FIRST_FACTOR = -4_658_895_280_553_007_687L
    private const val SECOND_FACTOR = -7_723_592_293_110_705_685L
}
