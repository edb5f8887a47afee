/*
 * Whether the configuration that this daemon has read may be relied on: it was confirmed recently, and peers know no
 * later version that the store has lost.
 */
package org.vanillalink.gateway.control

import org.vanillalink.gateway.logs.EventLogger
import org.vanillalink.gateway.ports.GatewayLimits
import org.vanillalink.serving.catalog.ClockReading
import org.vanillalink.serving.catalog.CredentialFreshness

/** Updated on the control thread; the properties may be read on any thread. */
internal class ConfigurationMonitor(
    private val limits: GatewayLimits,
    private val eventLogger: EventLogger,
    private val clock: GatewayClock,
) {
    @Volatile
    private var credentialFreshness = CredentialFreshness()

    @Volatile
    private var lostConfiguration = LostConfiguration()

    /** Whether keys and routes may be judged by the configuration. */
    val isFresh: Boolean
        get() = credentialFreshness.isFresh(clock.reading(), maxKeyAge) && !lostConfiguration.isLost(clock.steady())

    /** Milliseconds since the configuration was last confirmed, or null if that isn't known. */
    val age: Long? get() = credentialFreshness.age(clock.reading())

    private val maxKeyAge: Long get() = limits.revocationMilliseconds - KEY_AGE_MARGIN_MILLISECONDS

    /** Records that a peer has [version] in force. */
    fun recordAnnounced(version: Long) = update(lostConfiguration.announced(version, clock.steady()), ownVersion = null)

    /** Records a response to a read of the configuration, after which [ownVersion] is in force. */
    fun recordConfirmed(
        ownVersion: Long?,
        requestedAt: ClockReading,
    ) {
        credentialFreshness = credentialFreshness.confirmed(requestedAt)
        val confirmed = lostConfiguration.confirmed(ownVersion ?: 0, requestedAt.steadyMilliseconds, clock.steady())
        update(confirmed, ownVersion)
    }

    private fun update(
        updated: LostConfiguration,
        ownVersion: Long?,
    ) {
        val now = clock.steady()
        if (updated.isLost(now) != lostConfiguration.isLost(now)) {
            val event = if (updated.isLost(now)) "configuration-lost" else "configuration-found"
            eventLogger.record(event, "version" to ownVersion, "announced" to updated.peerVersion)
        }
        lostConfiguration = updated
    }

    private companion object {
        /** Margin for requests that are in progress while the maximum age is reached. */
        const val KEY_AGE_MARGIN_MILLISECONDS = 700L
    }
}
