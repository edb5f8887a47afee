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

    /** Records [strike], seen here or by a peer. */
    fun struck(
        strike: Strike,
        now: Long,
    ) {
        strikes.remove(strike)
        strikes[strike] = now
        while (strikes.size > STRIKES_KEPT) strikes.remove(strikes.keys.first())
    }

    /** Whether a request with [fingerprint] has taken down too many targets. */
    fun refuses(
        fingerprint: RequestFingerprint,
        now: Long,
    ): Boolean = strikes.count { (strike, at) ->
        strike.fingerprint == fingerprint && now - at < REMEMBERED_MILLISECONDS
    } >= strikesBeforeRefusal

    /** Strikes after [since], to tell to peers. */
    fun since(since: Long): List<Strike> = strikes.filterValues { it > since }.keys.toList()

    private companion object {
        /** Two losses can be chance where targets fail often; a third at another target hardly is. */
        const val STRIKES_BEFORE_REFUSAL = 3
        const val STRIKES_KEPT = 1_000
        const val REMEMBERED_MILLISECONDS = 60_000L
    }
}
