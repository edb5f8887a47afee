/*
 * Notices that the store has lost the configuration that is in force: it has come back from an older copy, and this
 * daemon has started since and read no other. Its peers know the later version, and announce it.
 *
 * Until operators have written it again, this daemon must not accept the keys, nor refuse the routes, of the older one.
 */
package org.vanillalink.gateway.control

import java.time.Duration

/** Versions of the configuration; times are milliseconds on the steady clock. */
internal data class LostConfiguration(
    /** The latest version that a peer has announced. */
    val peerVersion: Long = 0,
    private val heardAt: Long = 0,
    /** When a read that began after [heardAt] showed an older version, or null. */
    private val missedAt: Long? = null,
) {
    /** Returns the state after a peer has announced [version]. */
    fun announced(
        version: Long,
        now: Long,
    ): LostConfiguration = if (version <= peerVersion) this else copy(peerVersion = version, heardAt = now)

    /** Returns the state after a read that was sent at [requestedAt], when [ownVersion] is the latest known one. */
    fun confirmed(
        ownVersion: Long,
        requestedAt: Long,
        now: Long,
    ): LostConfiguration = when {
        ownVersion >= peerVersion -> copy(missedAt = null)
        requestedAt > heardAt -> copy(missedAt = missedAt ?: now)
        else -> this
    }

    /** Whether a later version than the known one is in force. Operators write it again within [REWRITE_TIME]. */
    fun isLost(now: Long): Boolean = missedAt != null && now - missedAt < REWRITE_TIME.toMillis()

    companion object {
        /** Longer than operators take to write their records again after the store has come back. */
        val REWRITE_TIME: Duration = Duration.ofSeconds(10)
    }
}
