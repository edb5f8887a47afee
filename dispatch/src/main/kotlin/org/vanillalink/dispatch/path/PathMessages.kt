/*
 * Events and decisions of PathHealth.
 */
package org.vanillalink.dispatch.path

import org.vanillalink.model.AttemptId
import org.vanillalink.model.HostId
import java.time.Duration
import java.time.Instant

/** One connection of this process. */
data class ConnectionId(
    val value: String,
)

/** Events of open streams and of the targets that send them. */
sealed interface PathEvent {
    /** A stream began on [connection]; [expectedGap] is the longest usual pause between its bytes. */
    data class StreamOpened(
        val attempt: AttemptId,
        val target: HostId,
        val connection: ConnectionId,
        val expectedGap: Duration,
    ) : PathEvent

    /** Bytes of this stream arrived; keep-alive comments count as bytes. */
    data class BytesReceived(
        val attempt: AttemptId,
    ) : PathEvent

    /** The stream ended, whether completely or not. */
    data class StreamClosed(
        val attempt: AttemptId,
    ) : PathEvent

    /** A report that was requested at [requestedAt] lists [runningAttempts]. */
    data class TargetReported(
        val target: HostId,
        val runningAttempts: Set<AttemptId>,
        val requestedAt: Instant,
    ) : PathEvent

    /** The target answered the probe on a new connection. */
    data class ProbeSucceeded(
        val target: HostId,
        val probeNumber: Long,
    ) : PathEvent

    /** The probe on a new connection failed or wasn't answered. */
    data class ProbeFailed(
        val target: HostId,
        val probeNumber: Long,
    ) : PathEvent

    /** Periodic event; expected about ten times a second while streams are open. */
    data object Tick : PathEvent
}

/** Actions that [PathHealth] requests. */
sealed interface PathDecision {
    /** Request the report of [target] on a new connection, and return the result with [probeNumber]. */
    data class ProbeOnNewConnection(
        val target: HostId,
        val probeNumber: Long,
    ) : PathDecision

    /** The connection is broken, or its target is suspected: close [connection] and fail its [attempts] for a retry. */
    data class EndStreams(
        val connection: ConnectionId,
        val attempts: Set<AttemptId>,
    ) : PathDecision

    /** Several probes in a row failed: report [target] as suspected to group control and routing. */
    data class SuspectTarget(
        val target: HostId,
    ) : PathDecision
}
