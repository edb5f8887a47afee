/*
 * What happens to streams on open connections, and what has to be done about silent ones.
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

/** What happened. */
sealed interface PathEvent {
    /** A stream began on [connection]; [expectedGap] is the longest pause between bytes that is usual for it. */
    data class StreamOpened(
        val attempt: AttemptId,
        val target: HostId,
        val connection: ConnectionId,
        val expectedGap: Duration,
    ) : PathEvent

    /** Bytes of this stream came; comments that keep it alive count. */
    data class BytesReceived(
        val attempt: AttemptId,
    ) : PathEvent

    /** The stream ended in any way. */
    data class StreamClosed(
        val attempt: AttemptId,
    ) : PathEvent

    /** A report that was asked for at [requestedAt] shows these attempts running. */
    data class TargetReported(
        val target: HostId,
        val runningAttempts: Set<AttemptId>,
        val requestedAt: Instant,
    ) : PathEvent

    /** The probe on a fresh connection was answered. */
    data class ProbeSucceeded(
        val target: HostId,
        val probeNumber: Long,
    ) : PathEvent

    /** The probe on a fresh connection failed or wasn't answered. */
    data class ProbeFailed(
        val target: HostId,
        val probeNumber: Long,
    ) : PathEvent

    /** Time has passed; wanted about ten times a second while streams are open. */
    data object Tick : PathEvent
}

/** What has to be done. */
sealed interface PathDecision {
    /** Ask [target] for its report on a connection made for it, and tell the result with [probeNumber]. */
    data class ProbeOnNewConnection(
        val target: HostId,
        val probeNumber: Long,
    ) : PathDecision

    /** The path is dead and the target lives: close [connection] and fail its [attempts] for another try. */
    data class EndStreams(
        val connection: ConnectionId,
        val attempts: Set<AttemptId>,
    ) : PathDecision

    /** Several probes failed: tell groups and routing. */
    data class SuspectTarget(
        val target: HostId,
    ) : PathDecision
}
