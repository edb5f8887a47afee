/*
 * Recognises a request that takes down the targets that run it, and is sent again by its caller, perhaps to another
 * daemon. Strikes are told to peers. A request with too many is refused before it reaches another target.
 */
package org.vanillalink.serving.balancing

import org.vanillalink.model.HostId

/** A digest of what makes two requests the same: caller, path and body. */
data class RequestFingerprint(
    val value: String,
)

/** A request with [fingerprint] was running when the connection to [target] broke. */
data class Strike(
    val fingerprint: RequestFingerprint,
    val target: HostId,
)

/** Strikes by request; times are milliseconds on the steady clock. Not thread safe. */
class PoisonRequestDetector(
    private val strikesBeforeRefusal: Int = STRIKES_BEFORE_REFUSAL,
) {
    private val strikes = LinkedHashMap<Strike, Long>()

    /** Those seen by this daemon itself, with when. */
    private val localStrikes = LinkedHashMap<Strike, Long>()

    /** Records [strike], seen by this daemon. */
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

    /** Records [strike], seen by a peer, who tells it several times. */
    fun recordPeerStrike(
        strike: Strike,
        now: Long,
    ) {
        strikes.compute(strike) { _, seen -> if (seen == null || now - seen >= RETENTION_MILLISECONDS) now else seen }
        evictOldest(strikes)
    }

    /** Whether a request with [fingerprint] has taken down too many targets. */
    fun isPoisonRequest(
        fingerprint: RequestFingerprint,
        now: Long,
    ): Boolean = strikes.count { (strike, seen) ->
        strike.fingerprint == fingerprint && now - seen < RETENTION_MILLISECONDS
    } >= strikesBeforeRefusal

    /** This daemon's own strikes after [since], to tell to peers. Those of others they hear from the others. */
    fun localStrikesSince(since: Long): List<Strike> {
        localStrikes.values.removeIf { it <= since }
        return localStrikes.keys.toList()
    }

    private fun evictOldest(strikes: LinkedHashMap<Strike, Long>) {
        while (strikes.size > MAX_STRIKES_KEPT) strikes.remove(strikes.keys.first())
    }

    private companion object {
        /** Two losses can be chance where targets fail often; a third at another target hardly is. */
        const val STRIKES_BEFORE_REFUSAL = 3
        const val MAX_STRIKES_KEPT = 1_000
        const val RETENTION_MILLISECONDS = 60_000L
    }
}
