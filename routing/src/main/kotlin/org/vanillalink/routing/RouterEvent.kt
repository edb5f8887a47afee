/*
 * What the router is told.
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
     * A greater [priority] goes first. [prefixFingerprints] are hashes of the prompt's prefix blocks, shortest prefix
     * first. A request that isn't [repeatable] has one attempt once a byte may have reached a target.
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

    /** The caller went away; its request needs no answer. */
    data class RequestCancelled(
        val request: RequestId,
    ) : RouterEvent

    /** The whole set of [service]'s candidates; those not in it are removed. */
    data class CandidatesChanged(
        val service: ServiceName,
        val candidates: List<TargetCandidate>,
    ) : RouterEvent

    /** A candidate is new, has a newer report, other admission units, or another boot. */
    data class CandidateUpdated(
        val candidate: TargetCandidate,
    ) : RouterEvent

    /** A candidate serves no more. */
    data class CandidateRemoved(
        val service: ServiceName,
        val host: HostId,
    ) : RouterEvent

    /** A daemon of another failure domain told its capacity. */
    data class RemoteCapacityReported(
        val capacity: RemoteCapacity,
    ) : RouterEvent

    /** A peer daemon isn't heard of any more. */
    data class RemoteDaemonLost(
        val daemon: DaemonId,
    ) : RouterEvent

    /** A target's prompt cache changed. [sequence] grows by one with each event of one [boot]. */
    data class CacheEventsReceived(
        val host: HostId,
        val boot: BootId,
        val sequence: Long,
        val added: List<Long>,
        val removed: List<Long> = emptyList(),
    ) : RouterEvent

    /** Operators took a failure domain out or let it in again. */
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

    /** An attempt gave its whole answer. */
    data class AttemptFinished(
        val request: RequestId,
        val attempt: Int,
        val serviceTime: Duration,
    ) : RouterEvent

    /**
     * An attempt, or a forwarding, failed. [mayHaveRun] is false only where no byte reached a target, or the target or
     * the other daemon proved that nothing ran. [tokensDelivered] tells whether the caller has a part of the answer
     * already, and [resumable] whether the engine can go on from there. While [executionEnded] is false the admission
     * unit stays in use until [AttemptExecutionEnded] or another boot of the target.
     */
    data class AttemptFailed(
        val request: RequestId,
        val attempt: Int,
        val mayHaveRun: Boolean,
        val tokensDelivered: Boolean = false,
        val resumable: Boolean = false,
        val executionEnded: Boolean = true,
    ) : RouterEvent

    /** The target itself said that it no longer works on an attempt that failed or was cancelled. */
    data class AttemptExecutionEnded(
        val request: RequestId,
        val attempt: Int,
    ) : RouterEvent

    /** The configuration changed. */
    data class SettingsChanged(
        val settings: RouterSettings,
    ) : RouterEvent

    /** Time passed; due about ten times a second. */
    data object Tick : RouterEvent
}
