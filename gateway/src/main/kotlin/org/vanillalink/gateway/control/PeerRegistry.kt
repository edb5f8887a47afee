/*
 * The registry of a daemon that follows the store through a peer: changes are read from a daemon of the own failure
 * domain that follows the store, and from the store itself at once if that daemon doesn't answer, or can't.
 */
package org.vanillalink.gateway.control

import arrow.core.Either
import arrow.core.left
import org.vanillalink.gateway.logs.EventLogger
import org.vanillalink.gateway.ports.Registry
import org.vanillalink.gateway.ports.RegistryFailure
import org.vanillalink.gateway.ports.RegistryPart
import org.vanillalink.gateway.ports.RegistryRecords
import org.vanillalink.model.DaemonId
import org.vanillalink.model.Endpoint
import org.vanillalink.serving.peers.StoreSources
import org.vanillalink.store.StoreFailure
import java.time.Duration
import java.util.concurrent.CompletableFuture

/** A daemon that follows the store. */
internal data class FollowedPeer(
    val daemon: DaemonId,
    val endpoint: Endpoint,
)

/** Which daemons follow the store. Called on the control thread. */
internal interface PeerSelection {
    /** The daemons of the failure domain that follow the store, or none if this daemon must do so itself. */
    fun followers(): List<DaemonId>

    /** Where [daemon] answers, or null if that isn't known. */
    fun endpoint(daemon: DaemonId): Endpoint?
}

/** Reads are begun on the control thread. Full reads are always answered by the [store]. */
internal class PeerRegistry(
    private val own: DaemonId,
    private val store: Registry,
    private val peer: (Endpoint) -> Registry,
    private val selection: PeerSelection,
    private val controlThread: ControlThread,
    private val eventLogger: EventLogger,
    private val clock: GatewayClock,
) : Registry {
    private var sources = StoreSources()
    private var lastSource: DaemonId? = null
    private val peers = HashMap<Endpoint, Registry>()

    /** How many reads peers have answered, and how many the store was asked instead. Safe to read from any thread. */
    @Volatile
    var answered = 0L
        private set

    @Volatile
    var failed = 0L
        private set

    override fun readAll(part: RegistryPart): CompletableFuture<Either<RegistryFailure, RegistryRecords>> =
        store.readAll(part)

    override fun readChanges(
        part: RegistryPart,
        version: Long,
        era: Long?,
        maxWait: Duration,
    ): CompletableFuture<Either<RegistryFailure, RegistryRecords>> {
        val followed = choose() ?: return store.readChanges(part, version, era, maxWait)
        return peers
            .getOrPut(followed.endpoint) { peer(followed.endpoint) }
            .readChanges(part, version, era, maxPeerWait(part))
            .handle { result, _ -> result ?: RegistryFailure.Unavailable(StoreFailure.AnswerLost).left() }
            .thenCompose { result ->
                val failure = result.fold({ it }, { if (isUsable(it, era)) null else RegistryFailure.HistoryLost })
                controlThread.execute { record(part, followed.daemon, failure) }
                // The time has passed that a change may wait, so the store isn't asked to wait for one.
                if (failure == null) CompletableFuture.completedFuture(result) else direct(part, version, era)
            }
    }

    private fun direct(
        part: RegistryPart,
        version: Long,
        era: Long?,
    ) = store.readChanges(part, version, era, Duration.ZERO)

    /** An answer of another era is left to the store to judge. */
    private fun isUsable(
        records: RegistryRecords,
        era: Long?,
    ) = records.relayed != null && records.era == era

    /** Whether this daemon would now ask a peer. */
    val followsPeer: Boolean get() = current() != null

    private fun current(): DaemonId? = sources.choose(own, selection.followers(), clock.steady())

    private fun choose(): FollowedPeer? {
        val daemon = current()
        val endpoint = daemon?.let(selection::endpoint)
        if (daemon != lastSource) {
            eventLogger.record("registry-source", "source" to (daemon ?: "store"), "before" to (lastSource ?: "store"))
            lastSource = daemon
            if (daemon != null && endpoint != null) peers.keys.retainAll(setOf(endpoint))
        }
        return endpoint?.let { FollowedPeer(daemon, it) }
    }

    private fun record(
        part: RegistryPart,
        daemon: DaemonId,
        failure: RegistryFailure?,
    ) {
        if (failure == null) {
            answered += 1
            return
        }
        failed += 1
        eventLogger.record("registry-peer-failed", "part" to part, "peer" to daemon, "failure" to failure)
        sources = sources.withFailure(daemon, clock.steady(), failure is RegistryFailure.HistoryLost)
    }

    private companion object {
        /** How long a peer waits for a change; it answers earlier when the store has answered it. */
        fun maxPeerWait(part: RegistryPart): Duration =
            if (part == RegistryPart.TARGETS) MAX_TARGET_WAIT else MAX_OPERATOR_WAIT

        val MAX_TARGET_WAIT: Duration = Duration.ofMillis(700)
        val MAX_OPERATOR_WAIT: Duration = Duration.ofMillis(1_100)
    }
}
