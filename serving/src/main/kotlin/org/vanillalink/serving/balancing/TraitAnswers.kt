/*
 * When targets last began to answer requests with each trait.
 *
 * Own observations are kept apart from received ones and only the own ones are reported: a time that peers passed on to
 * each other would become younger with each message.
 */
package org.vanillalink.serving.balancing

/** Times are milliseconds on the steady clock. Not thread safe. */
internal class TraitAnswers {
    private val own = RecentTimes<RequestTrait>(MAX_OWN)
    private val ofPeers = RecentTimes<RequestTrait>(MAX_OF_PEERS)

    /** Records an answer of a target that this daemon used; returns whether it is the latest one. */
    fun recordOwn(
        trait: RequestTrait,
        begunAt: Long,
    ): Boolean = own.advance(trait, begunAt)

    /** Records an answer that a peer reported; returns whether it is the latest one that was reported. */
    fun recordOfPeer(
        trait: RequestTrait,
        begunAt: Long,
    ): Boolean = ofPeers.advance(trait, begunAt)

    /** When a target that this daemon used last began to answer a request with [trait], or null. */
    fun latestOwn(trait: RequestTrait): Long? = own[trait]

    /** When any target last began to answer a request with [trait], or null. */
    fun latest(trait: RequestTrait): Long? {
        val ownTime = own[trait] ?: return ofPeers[trait]
        return maxOf(ownTime, ofPeers[trait] ?: ownTime)
    }

    fun isAnsweredSince(
        trait: RequestTrait,
        time: Long,
    ): Boolean = (latest(trait) ?: Long.MIN_VALUE) >= time

    private companion object {
        /** Traits of the requests that callers send within some minutes. */
        const val MAX_OWN = 8_192
        const val MAX_OF_PEERS = 1_024
    }
}
