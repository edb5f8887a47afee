/*
 * Which daemons of a failure domain follow the store, and which of them another daemon asks.
 *
 * The store's calls are to grow with failure domains and changes, not with daemons. So in a failure domain with enough
 * daemons a few follow the store, and the others follow these. Each daemon decides by itself from its peers' messages;
 * where two disagree for a while, one asks a daemon that can't answer, and then the store itself.
 */
package org.vanillalink.serving.peers

import org.vanillalink.model.DaemonId

/** Selects followers. */
object StoreFollowers {
    /**
     * Returns the daemons of [own]'s failure domain that follow the store, or none where each daemon does. A daemon
     * with control of the domain comes first, [ownTerm] being this daemon's term there or 0; then they are ranked. One
     * that ends is replaced when it no longer counts as alive, one that leaves or loses the store with its next
     * message.
     */
    fun select(
        own: OwnState,
        ownTerm: Long,
        peers: PeerDirectory,
        now: Long,
    ): List<DaemonId> {
        val others = peers.peersIn(own.failureDomain, now)
        if (others.size + 1 < MIN_DAEMONS) return emptyList()
        val candidates =
            others.map {
                val term = peers.termIn(it, own.failureDomain)
                FollowerCandidate(it.daemon, it.storeAge, it.isLeaving, term)
            } + FollowerCandidate(own.daemon, own.storeAge, own.isLeaving, ownTerm)
        return candidates
            .filter { !it.isLeaving && it.storeAge < PeerDirectory.STORE_LOST_MILLISECONDS }
            .sortedWith(
                compareByDescending<FollowerCandidate> { it.term }
                    .thenBy { peers.rank(own.failureDomain, it.daemon) }
                    .thenBy { it.daemon.value },
            ).take(FOLLOWERS)
            .map { it.daemon }
    }

    private class FollowerCandidate(
        val daemon: DaemonId,
        val storeAge: Long,
        val isLeaving: Boolean,
        val term: Long,
    )

    /** With fewer daemons, a failure domain would save no calls worth the additional way. */
    private const val MIN_DAEMONS = 4

    /** Two, so that the loss of one leaves another that is known. */
    private const val FOLLOWERS = 2
}

/** The peers that this daemon doesn't ask for a while, as they failed; times are milliseconds on the steady clock. */
data class StoreSources(
    private val avoidedUntil: Map<DaemonId, Long> = emptyMap(),
) {
    /** The one of [followers] that [own] asks at [now], or null if it asks the store itself. */
    fun choose(
        own: DaemonId,
        followers: List<DaemonId>,
        now: Long,
    ): DaemonId? {
        if (followers.isEmpty() || own in followers) return null
        // Spreads the daemons over the followers.
        val preferred = Math.floorMod(own.value.hashCode(), followers.size)
        return (followers.drop(preferred) + followers.take(preferred)).firstOrNull { now >= (avoidedUntil[it] ?: now) }
    }

    /** Records that [daemon] failed at [now]. */
    fun withFailure(
        daemon: DaemonId,
        now: Long,
        /** Whether it answered that it doesn't have what was asked for, and may have it soon. */
        isHistoryTooShort: Boolean,
    ): StoreSources {
        val pause = if (isHistoryTooShort) SHORT_PAUSE_MILLISECONDS else PAUSE_MILLISECONDS
        return StoreSources(avoidedUntil.filterValues { it > now } + (daemon to now + pause))
    }

    private companion object {
        const val SHORT_PAUSE_MILLISECONDS = 1_000L

        /** About as long as it takes until a daemon that ended no longer counts as alive. */
        const val PAUSE_MILLISECONDS = 3_000L
    }
}
