/*
 * Selection of the target for a request.
 *
 * One scan over all candidates with capacity selects the one with the lowest score: its utilisation, less a bonus for
 * cached prefixes, plus penalties. A rendezvous hash of prefix (or request) and host breaks near-ties: requests with
 * the same prefix prefer the same targets, and daemons that read the same lagging reports don't all select one target.
 */
package org.vanillalink.routing

/** Selects among a service's candidates. */
internal object TargetSelector {
    private const val PREFIX_BONUS = 0.5
    private const val TIE_BREAK_WEIGHT = 0.125
    private const val CACHE_FULL_PENALTY = 0.1
    private const val STRAGGLER_PENALTY = 2.0
    private const val FAILED_HOST_PENALTY = 4.0
    private const val HASH_FACTOR = -7046029254386353131L
    private const val HASH_SHIFT = 32
    private const val TIE_BREAK_BITS = 20

    /** Returns the best of [entries] for [request], or null if no usable entry has capacity. */
    fun choose(
        entries: List<CandidateEntry>,
        request: RoutedRequest,
        isUsable: (CandidateEntry) -> Boolean,
    ): CandidateEntry? {
        val seed = (request.arrival.prefixFingerprints.firstOrNull() ?: request.id.hashCode().toLong())
        var best: CandidateEntry? = null
        var bestScore = Double.MAX_VALUE
        for (entry in entries) {
            val score = if (entry.hasCapacity && isUsable(entry)) score(entry, request, seed) else Double.MAX_VALUE
            if (score < bestScore) {
                best = entry
                bestScore = score
            }
        }
        return best
    }

    private fun score(
        entry: CandidateEntry,
        request: RoutedRequest,
        seed: Long,
    ): Double {
        val candidate = entry.candidate
        var score = entry.utilisationWithNextAttempt + TIE_BREAK_WEIGHT * tieBreak(seed, candidate.host.hashCode())
        score -= PREFIX_BONUS * entry.cachedPrefixes.matchedFraction(request.arrival.prefixFingerprints)
        candidate.load?.let { score += CACHE_FULL_PENALTY * (1 - it.freeCacheFraction) }
        if (candidate.straggler) score += STRAGGLER_PENALTY
        if (candidate.host in request.failedHosts) score += FAILED_HOST_PENALTY
        return score
    }

    private fun tieBreak(
        seed: Long,
        host: Int,
    ): Double {
        var hash = (seed xor (host.toLong() shl HASH_SHIFT) xor host.toLong()) * HASH_FACTOR
        hash = (hash xor (hash ushr HASH_SHIFT)) * HASH_FACTOR
        return (hash ushr (Long.SIZE_BITS - TIE_BREAK_BITS)).toDouble() / (1 shl TIE_BREAK_BITS)
    }
}
