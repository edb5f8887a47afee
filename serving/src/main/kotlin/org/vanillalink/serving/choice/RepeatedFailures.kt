/*
 * Recognises a request that takes down the targets that run it, and is sent again by its caller, perhaps to another
 * daemon. Strikes are told to peers. A request with too many is refused before it reaches another target.
 */
package org.vanillalink.serving.choice

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
class RepeatedFailures(
    private val strikesBeforeRefusal: Int = STRIKES_BEFORE_REFUSAL,
) {
    private val strikes = LinkedHashMap<Strike, Long>()

    /** Those seen by this daemon itself, with when. */
    private val own = LinkedHashMap<Strike, Long>()

    /** Records [strike], seen by this daemon. */
    fun struck(
        strike: Strike,
        now: Long,
    ) {
        strikes.remove(strike)
        strikes[strike] = now
        own.remove(strike)
        own[strike] = now
        keepNewest(strikes)
        keepNewest(own)
    }

    /** Records [strike], seen by a peer, who tells it several times. */
    fun heard(
        strike: Strike,
        now: Long,
    ) {
        strikes.compute(strike) { _, at -> if (at == null || now - at >= REMEMBERED_MILLISECONDS) now else at }
        keepNewest(strikes)
    }

    /** Whether a request with [fingerprint] has taken down too many targets. */
    fun refuses(
        fingerprint: RequestFingerprint,
        now: Long,
    ): Boolean = strikes.count { (strike, at) ->
        strike.fingerprint == fingerprint && now - at < REMEMBERED_MILLISECONDS
    } >= strikesBeforeRefusal

    /** This daemon's own strikes after [since], to tell to peers. Those of others they hear from the others. */
    fun since(since: Long): List<Strike> {
        own.values.removeIf { it <= since }
        return own.keys.toList()
    }

    private fun keepNewest(strikes: LinkedHashMap<Strike, Long>) {
        while (strikes.size > STRIKES_KEPT) strikes.remove(strikes.keys.first())
    }

    private companion object {
        /** Two losses can be chance where targets fail often; a third at another target hardly is. */
        const val STRIKES_BEFORE_REFUSAL = 3
        const val STRIKES_KEPT = 1_000
        const val REMEMBERED_MILLISECONDS = 60_000L
    }
}
