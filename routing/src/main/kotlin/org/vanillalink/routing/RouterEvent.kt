/*
 * Events of the router.
 */
package org.vanillalink.routing

import org.vanillalink.configuration.FailureDomainState
import org.vanillalink.model.BootId
import org.vanillalink.model.DaemonId
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.HostId
import org.vanillalink.model.RequestId
import org.vanillalink.model.ServiceName
import org.vanillalink.model.WorkspaceId
import java.time.Duration
import java.time.Instant

/** An event for the [Router]. */
sealed interface RouterEvent {
    /**
     * A caller's request, or one that a daemon of another failure domain [forwarded].
     *
     * A greater [priority] is served first. [prefixFingerprints] are hashes of the prompt's prefix blocks, shortest
     * prefix first. A request that isn't [repeatable] is not retried once a byte may have reached a target.
     */
    data class RequestArrived(
        val request: RequestId,
        val service: ServiceName,
        val workspace: WorkspaceId,
        val deadline: Instant,
        val priority: Int = 0,
        val estimatedTokens: Int = 1,
        val prefixFingerprints: List<Long> = emptyList(),
        val forwarded: Boolean = false,
        val repeatable: Boolean = true,
    ) : RouterEvent

    /** The caller disconnected; its request needs no answer. */
    data class RequestCancelled(
        val request: RequestId,
    ) : RouterEvent

    /** The complete set of [service]'s candidates; all others are removed. */
    data class CandidatesChanged(
        val service: ServiceName,
        val candidates: List<TargetCandidate>,
    ) : RouterEvent

    /** A candidate is new, or its report, admission units, boot or another property changed. */
    data class CandidateUpdated(
        val candidate: TargetCandidate,
    ) : RouterEvent

    /** A candidate no longer serves [service]. */
    data class CandidateRemoved(
        val service: ServiceName,
        val host: HostId,
    ) : RouterEvent

    /** A daemon of another failure domain reported its capacity. */
    data class RemoteCapacityReported(
        val capacity: RemoteCapacity,
    ) : RouterEvent

    /** A daemon of another failure domain is no longer reachable. */
    data class RemoteDaemonLost(
        val daemon: DaemonId,
    ) : RouterEvent

    /** A target's prompt cache changed. [sequence] increases by one with each event of one [boot]. */
    data class CacheEventsReceived(
        val host: HostId,
        val boot: BootId,
        val sequence: Long,
        val added: List<Long>,
        val removed: List<Long> = emptyList(),
    ) : RouterEvent

    /** Operators took a failure domain out of service or returned it. */
    data class FailureDomainStateChanged(
        val failureDomain: FailureDomainId,
        val state: FailureDomainState,
    ) : RouterEvent

    /**
     * How [service]'s capacity is expected to grow: by [unitsPerSecond] concurrent requests, and not before
     * [nextProbeAt] while there is none.
     */
    data class CapacityExpected(
        val service: ServiceName,
        val unitsPerSecond: Double,
        val nextProbeAt: Instant? = null,
    ) : RouterEvent

    /** An attempt returned its complete answer, after [serviceTime]. */
    data class AttemptFinished(
        val request: RequestId,
        val attempt: Int,
        val serviceTime: Duration,
    ) : RouterEvent

    /**
     * An attempt or a forward failed. [mayHaveRun] is false only if no byte reached a target, or the target or the
     * other daemon proved that nothing ran. [tokensDelivered] is true if the caller already has a part of the answer,
     * and [resumable] if the engine can continue from there. If [executionEnded] is false, the admission unit stays in
     * use until [AttemptExecutionEnded] or another boot of the target.
     */
    data class AttemptFailed(
        val request: RequestId,
        val attempt: Int,
        val mayHaveRun: Boolean,
        val tokensDelivered: Boolean = false,
        val resumable: Boolean = false,
        val executionEnded: Boolean = true,
    ) : RouterEvent

    /** The target confirmed that it no longer executes an attempt that failed or was cancelled. */
    data class AttemptExecutionEnded(
        val request: RequestId,
        val attempt: Int,
    ) : RouterEvent

    /** The configuration changed. */
    data class SettingsChanged(
        val settings: RouterSettings,
    ) : RouterEvent

    /** Time passed; expected about ten times per second. */
    data object Tick : RouterEvent
}
