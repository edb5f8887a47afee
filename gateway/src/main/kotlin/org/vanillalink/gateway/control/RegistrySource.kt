/*
 * Where this daemon reads the registry, and how often: from the store, or from a peer that follows it.
 */
package org.vanillalink.gateway.control

import org.vanillalink.gateway.logs.EventLogger
import org.vanillalink.gateway.ports.GatewaySettings
import org.vanillalink.gateway.ports.Registry
import org.vanillalink.gateway.ports.RegistryPart
import org.vanillalink.gateway.ports.RegistryRelay
import org.vanillalink.model.DaemonId
import org.vanillalink.serving.peers.OwnState
import org.vanillalink.serving.peers.PeerDirectory
import org.vanillalink.serving.peers.StoreFollowers
import java.time.Duration

/** What the source depends on. Called on the control thread. */
internal interface RegistrySourceInputs {
    val peerDirectory: PeerDirectory
    val ownState: OwnState

    /** Whether this daemon has control of any failure domain. */
    val hasControl: Boolean

    /** This daemon's term in its own failure domain, or 0. */
    val ownTerm: Long
}

/** Confined to the control thread, except for the counters. Without a [relay] each daemon follows the [store]. */
internal class RegistrySource(
    settings: GatewaySettings,
    store: Registry,
    private val relay: RegistryRelay?,
    private val inputs: RegistrySourceInputs,
    controlThread: ControlThread,
    eventLogger: EventLogger,
    private val clock: GatewayClock,
) {
    private val daemon = settings.daemon
    private val drainPeriod = Duration.ofMillis(settings.limits.drainMilliseconds)
    private val selection =
        object : PeerSelection {
            /** A daemon with control decides by the store's own word. */
            override fun followers() = if (inputs.hasControl) emptyList() else followersInDomain()

            override fun endpoint(daemon: DaemonId) = inputs.peerDirectory.peers[daemon]
                ?.message
                ?.endpoint
        }
    private val peerRegistry =
        relay?.let { PeerRegistry(daemon, store, it::peer, selection, controlThread, eventLogger, clock) }

    val registry: Registry = peerRegistry ?: store

    /** Whether a peer follows the store for this daemon. */
    val followsPeer: Boolean get() = peerRegistry?.followsPeer == true

    /** How many reads of the registry peers have answered, and how many they haven't. Safe to read from any thread. */
    val answersOfPeers: Long get() = peerRegistry?.answered ?: 0
    val failuresOfPeers: Long get() = peerRegistry?.failed ?: 0

    /** The pause after a response about [part]. */
    fun pollInterval(part: RegistryPart): Duration {
        if (part == RegistryPart.OPERATORS) return RegistryPollInterval.MIN_INTERVAL
        val followers = followersInDomain()
        if (followers.isNotEmpty() && !inputs.hasControl) {
            return RegistryPollInterval.computeRelayed(daemon in followers, drainPeriod)
        }
        val daemons = inputs.peerDirectory.budgetDaemons(clock.steady())
        return RegistryPollInterval.compute(inputs.hasControl, daemons, drainPeriod)
    }

    /** How long the store is to wait for a change of [part]. */
    fun maxChangeWait(part: RegistryPart): Duration {
        val isRelayed = part == RegistryPart.TARGETS && followersInDomain().isNotEmpty()
        return if (isRelayed) RegistryPollInterval.MAX_RELAYED_TARGET_WAIT else RegistryPollInterval.MAX_CHANGE_WAIT
    }

    /** The daemons of this failure domain that follow the store, or none if all do. */
    private fun followersInDomain(): List<DaemonId> {
        if (relay == null || !RegistryPollInterval.allowsRelaying(drainPeriod)) return emptyList()
        return StoreFollowers.select(inputs.ownState, inputs.ownTerm, inputs.peerDirectory, clock.steady())
    }
}
