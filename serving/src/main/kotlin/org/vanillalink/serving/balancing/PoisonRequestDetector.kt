/*
 * Detects poison requests: requests that crash the targets that run them, and that callers send again, possibly to
 * another daemon. Each crash counts as a strike and is announced to peers. A request with too many strikes is refused
 * before it reaches another target.
 */
package org.vanillalink.serving.balancing

import org.vanillalink.model.HostId

/** Digest of caller, path and body; requests with the same digest are considered equal. */
data class RequestFingerprint(
    val value: String,
)

/** The connection to [target] was lost while a request with [fingerprint] was running there. */
data class Strike(
    val fingerprint: RequestFingerprint,
    val target: HostId,
)

/** Strikes by request; times are milliseconds on the steady clock. Not thread safe. */
class PoisonRequestDetector(
    private val strikesBeforeRefusal: Int = STRIKES_BEFORE_REFUSAL,
) {
    private val strikes = LinkedHashMap<Strike, Long>()

    /** Strikes observed by this daemon itself, with the time of the latest observation. */
    private val localStrikes = LinkedHashMap<Strike, Long>()

    /** Records [strike], which this daemon observed itself. */
    fun recordLocalStrike(
        strike: Strike,
        now: Long,
    ) {
        strikes.remove(strike)
        strikes[strike] = now
        localStrikes.remove(strike)
        localStrikes[strike] = now
        evictOldest(strikes)
        evictOldest(localStrikes)
    }

    /** Records [strike] of a peer. Peers announce a strike repeatedly; only the first announcement sets its time. */
    fun recordPeerStrike(
        strike: Strike,
        now: Long,
    ) {
        strikes.compute(strike) { _, seen -> if (seen == null || now - seen >= RETENTION_MILLISECONDS) now else seen }
        evictOldest(strikes)
    }

    /** Whether a request with [fingerprint] has struck enough targets to be refused. */
    fun isPoisonRequest(
        fingerprint: RequestFingerprint,
        now: Long,
    ): Boolean = strikes.count { (strike, seen) ->
        strike.fingerprint == fingerprint && now - seen < RETENTION_MILLISECONDS
    } >= strikesBeforeRefusal

    /** Strikes that this daemon observed after [since], to announce to peers. Peers announce their own strikes. */
    fun localStrikesSince(since: Long): List<Strike> {
        localStrikes.values.removeIf { it <= since }
        return localStrikes.keys.toList()
    }

    private fun evictOldest(strikes: LinkedHashMap<Strike, Long>) {
        while (strikes.size > MAX_STRIKES_KEPT) strikes.remove(strikes.keys.first())
    }

    private companion object {
        /** Two losses can be coincidence where targets fail often; a third one at another target hardly can. */
        const val STRIKES_BEFORE_REFUSAL = 3
        const val MAX_STRIKES_KEPT = 1_000
        const val RETENTION_MILLISECONDS = 60_000L
    }
}
